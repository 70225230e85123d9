package configurator

import (
	"os"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPage guards against settings keys and error texts that are missing from the operators' page on
// settings.
func TestPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/settings.md")
	must.NoError(t, err)
	page := string(data)
	for _, settings := range []any{EntrySettings{}, AgentSettings{}, ControllerSettings{}, OperatorSettings{}, DeploymentSettings{}, ProfileSettings{}} {
		mustDocument(t, page, reflect.TypeOf(settings))
	}
	t.Run("bad file", func(t *testing.T) {
		_, err := Read[AgentSettings]("testdata/five.yaml")
		must.StrContains(t, page, "```\n"+err.Error()+"\n```\n")
		file, err := os.ReadFile("testdata/five.yaml")
		must.NoError(t, err)
		must.StrContains(t, page, "```yaml\n"+string(file)+"```\n")
	})
}

func mustDocument(t *testing.T, page string, settings reflect.Type) {
	t.Helper()
	if settings.Kind() == reflect.Slice {
		mustDocument(t, page, settings.Elem())
		return
	}
	if settings.Kind() != reflect.Struct {
		return
	}
	for i := range settings.NumField() {
		field := settings.Field(i)
		if key := field.Tag.Get("yaml"); key != "" {
			t.Run(settings.Name()+"."+key, func(t *testing.T) { must.StrContains(t, page, "`"+key+"`") })
		}
		if field.IsExported() {
			mustDocument(t, page, field.Type)
		}
	}
}
