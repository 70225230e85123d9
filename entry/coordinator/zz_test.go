package coordinator_test
import ("testing";"fmt")
func TestZZ(t *testing.T){
 for seed := range uint64(300) { runScheduleZ(t, seed) }
}
func runScheduleZ(t *testing.T, seed uint64) { fmt.Println("seed", seed); runSchedule(t, seed) }
