package tomlfile

// Requirement is a condition on the value of a field, with the result of checking it. Require makes one.
type Requirement struct {
	field    string // field's name in its table
	isMet    bool
	expected string // what the field must be, as in "over 0"
}

// Require returns a requirement on a field. isMet is whether the field's value meets it, and expected says what the field must be, as
// in "over 0".
func Require(field string, isMet bool, expected string) Requirement {
	return Requirement{field, isMet, expected}
}

// Check returns an *Error for the first requirement that is not met, or nil if all are. The requirements are on fields
// of the named table; the empty name stands for the top level of the file.
func (f *File) Check(table string, requirements []Requirement) error {
	for _, r := range requirements {
		if !r.isMet {
			return f.Errorf(joinName(table, r.field), "must be %s", r.expected)
		}
	}
	return nil
}
