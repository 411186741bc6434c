package reviewer

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
)

const (
	deployFile  = "system.toml"
	buildScript = "build*.sh"
)

// Build builds the programs of the deploy file and all stand-ins into target/ of a repository.
func Build(ctx context.Context, root string) error {
	var deploy struct{ Build string }
	if _, err := toml.DecodeFile(filepath.Join(root, deployDir, deployFile), &deploy); err != nil {
		return trace.Wrap(err)
	}
	if deploy.Build == "" {
		return trace.BadParameter("%s/%s has no build command", deployDir, deployFile)
	}
	if err := runIn(ctx, root, "sh", "-c", deploy.Build); err != nil {
		return err
	}
	scripts, err := filepath.Glob(filepath.Join(root, reviewDir, buildScript))
	if err != nil {
		return trace.Wrap(err)
	}
	if len(scripts) == 0 {
		return trace.NotFound("no %s in %s", buildScript, reviewDir)
	}
	for _, script := range scripts {
		if err := runIn(ctx, root, script); err != nil {
			return err
		}
	}
	return nil
}

// runIn runs a command in a directory. The error has what it printed.
func runIn(ctx context.Context, dir, name string, args ...string) error {
	command := exec.CommandContext(ctx, name, args...) //nolint:gosec // commands of the repository
	command.Dir = dir
	if out, err := command.CombinedOutput(); err != nil {
		return trace.Wrap(err, "%s: %s", name, out)
	}
	return nil
}

// newCopy returns a directory in which cases can be played: copies of deploy/ and review/, to which they write, and the programs that
// were built.
func newCopy(root string) (string, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	for _, name := range []string{deployDir, reviewDir} {
		if err := os.CopyFS(filepath.Join(dir, name), os.DirFS(filepath.Join(root, name))); err != nil {
			return "", trace.NewAggregate(err, os.RemoveAll(dir))
		}
	}
	target, err := filepath.Abs(filepath.Join(root, targetDir))
	if err == nil {
		err = os.Symlink(target, filepath.Join(dir, targetDir))
	}
	if err != nil {
		return "", trace.NewAggregate(err, os.RemoveAll(dir))
	}
	return dir, nil
}
