package supervisor

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/specifier"
)

// setNames sets zerolog's field names. It runs only once, because they are package variables of zerolog.
var setNames = sync.OnceFunc(func() {
	zerolog.TimestampFieldName = FieldTime
	zerolog.LevelFieldName = FieldLevel
	zerolog.MessageFieldName = FieldMessage
	zerolog.ErrorFieldName = FieldError
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.LevelFieldMarshalFunc = func(level zerolog.Level) string {
		return levelNames[level]
	}
})

var levelNames = map[zerolog.Level]string{
	zerolog.DebugLevel: "Debug",
	zerolog.InfoLevel:  "Info",
	zerolog.WarnLevel:  "Warn",
	zerolog.ErrorLevel: "Error",
}

// NewLogger returns the log of a process, which writes one JSON object per line to out. It returns an
// error if level is not one of Debug, Info, Warn and Error.
func NewLogger(out io.Writer, level, process string, role specifier.Role) (zerolog.Logger, error) {
	setNames()
	for parsed, name := range levelNames {
		if name == level {
			return zerolog.New(out).Level(parsed).With().Timestamp().
				Str(FieldProcess, process).Str(FieldRole, string(role)).Logger(), nil
		}
	}
	return zerolog.Nop(), errors.Newf("log level %q, expected Debug, Info, Warn or Error", level)
}
