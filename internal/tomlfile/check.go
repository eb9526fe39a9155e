package tomlfile

// Requirement is a requirement on the value of a field, with the result of checking it. Need makes one.
type Requirement struct {
	field    string
	isMet    bool
	expected string
}

// Require returns a requirement on a field. expected completes the sentence "the field must be".
func Require(field string, isMet bool, expected string) Requirement {
	return Requirement{field, isMet, expected}
}

// Check returns an *Error for the first requirement that is not met, and nil if all are. Their fields are those of a
// table; an empty name stands for the file's own.
func (f *File) Check(table string, requirements []Requirement) error {
	for _, r := range requirements {
		if !r.isMet {
			return f.Errorf(join(table, r.field), "must be %s", r.expected)
		}
	}
	return nil
}
