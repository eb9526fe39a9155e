package tomlfile

// Must is a requirement on the value of a field, with the result of checking it. Need makes one.
type Must struct {
	field    string
	isMet    bool
	expected string
}

// Need returns a requirement on a field. expected completes the sentence "the field must be".
func Need(field string, isMet bool, expected string) Must { return Must{field, isMet, expected} }

// Check returns an *Error for the first requirement that is not met, and nil if all are. Their fields are those of a
// table; an empty name stands for the file's own.
func (f *File) Check(table string, requirements []Must) error {
	for _, r := range requirements {
		if !r.isMet {
			return f.Errorf(join(table, r.field), "must be %s", r.expected)
		}
	}
	return nil
}
