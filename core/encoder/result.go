package encoder

import "oleandertally/core/specifier"

// EncodeResult shares the body with r.
func EncodeResult(r specifier.Result) *Result { return &Result{Task: r.Task, Body: r.Body} }

func (c *checker) result(path string, m *Result) specifier.Result {
	if !c.require(path, m != nil) {
		return specifier.Result{}
	}
	if len(m.Body) > specifier.MaxResult {
		c.problems.Add(path+".Body", "has %d bytes, expected at most %d", len(m.Body), specifier.MaxResult)
	}
	return specifier.Result{Task: c.name(path+".Task", m.Task), Body: m.Body}
}
