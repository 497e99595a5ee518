package config

// Entry is one key of a document or settings file.
type Entry struct {
	Section, Key, Value string
}

// Entries returns the keys of a document in file order, with their values as written.
// It fails with a Problems if data has invalid lines or is too large.
func Entries(file string, data []byte) ([]Entry, error) {
	if _, err := newChecker(file, data); err != nil {
		return nil, err
	}
	var entries []Entry
	eachLine(data, func(_ int, _ string, line iniLine) {
		if line.kind == lineKey {
			entries = append(entries, Entry{line.section, line.key, line.value})
		}
	})
	return entries, nil
}
