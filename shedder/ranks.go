package shedder

// ranks is a Fenwick tree of amounts by rank. Its memory is reused.
type ranks struct {
	sums []int64 // sums[i] is the sum over the range of ranks that ends in i-1
	top  int     // highest power of two that is at most the number of ranks
}

// reset prepares the tree for n ranks, all with the amount 0.
func (t *ranks) reset(n int) {
	t.sums = append(t.sums[:0], make([]int64, n+1)...)
	for t.top = 1; t.top*2 <= n; t.top *= 2 {
	}
}

func (t *ranks) add(rank int, amount int64) {
	for i := rank + 1; i < len(t.sums); i += i & -i {
		t.sums[i] += amount
	}
}

// before returns the sum of the amounts of the ranks below the given one.
func (t *ranks) before(rank int) (sum int64) {
	for i := rank; i > 0; i -= i & -i {
		sum += t.sums[i]
	}
	return sum
}

// first returns the lowest rank with an amount, or the number of ranks if there is none.
func (t *ranks) first() int {
	position := 0
	for step := t.top; step > 0; step /= 2 {
		if next := position + step; next < len(t.sums) && t.sums[next] == 0 {
			position = next
		}
	}
	return position
}
