package journaler

import "fmt"

func itoa[N int | uint32 | uint64](n N) string { return fmt.Sprint(n) }
