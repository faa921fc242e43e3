package operator

import (
	"io"
	"os"
)

// documentFile is the positional argument for a document.
type documentFile struct {
	File string `arg:"positional,required" help:"the document; - is standard input"`
}

// read returns the content of the file, or of in if the argument is "-".
func (f documentFile) read(in io.Reader) ([]byte, error) {
	if f.File != "-" {
		opened, err := os.Open(f.File)
		if err != nil {
			return nil, usageErrorf("FILE: %v", err)
		}
		defer opened.Close()
		in = opened
	}
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, &Error{Exit: ExitFailed, Message: "FILE " + f.File, Err: err}
	}
	return data, nil
}
