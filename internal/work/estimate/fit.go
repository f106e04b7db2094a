package estimate

import (
	"math"
	"time"
)

// fit is a least-squares line from the logarithm of the declared run time to
// that of the real one. The zero fit has seen nothing.
type fit struct {
	n          float64
	x, y       float64 // means
	xx, xy, yy float64 // sums of squares about the means
}

// prior is how many ends without any relation the line starts from, so that a
// few ends that happen to agree are not believed.
const prior = 10

func (f *fit) add(declared, ran time.Duration) {
	if declared <= 0 || ran <= 0 {
		return
	}
	x, y := math.Log(declared.Seconds()), math.Log(ran.Seconds())
	f.n++
	dx, dy := x-f.x, y-f.y
	f.x += dx / f.n
	f.y += dy / f.n
	f.xx += dx * (x - f.x)
	f.xy += dx * (y - f.y)
	f.yy += dy * (y - f.y)
}

// run returns the run time that a share q stay within, with the spread about
// the line taken as log-normal.
func (f *fit) run(q float64, declared time.Duration) time.Duration {
	slope := f.xy / (f.xx + prior*max(f.xx/f.n, 1e-9))
	rest := max(f.yy-slope*f.xy, 0) / max(f.n-2, 1)
	at := f.y + slope*(math.Log(declared.Seconds())-f.x)
	at += math.Sqrt(rest) * math.Sqrt2 * math.Erfinv(2*q-1)
	return time.Duration(math.Exp(at) * float64(time.Second))
}
