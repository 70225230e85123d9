package main

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"oleandertally/core/specifier"
)

// difference is one field that differs between two configurations, as -json prints it. When Field is empty, one of the
// configurations lacks the whole profile or team.
type difference struct {
	Item  string // such as "profile holds"
	Field string
	Now   string
	Then  string
}

// differences returns the changes from now to then, profiles before teams and each sorted by name.
func differences(now, then specifier.Configuration) []difference {
	return append(compareItems("profile", now.Profiles, then.Profiles), compareItems("team", now.Teams, then.Teams)...)
}

func compareItems[T comparable](kind string, now, then map[string]T) []difference {
	names := maps.Clone(now)
	maps.Copy(names, then)
	var found []difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, inNow := now[name]
		after, inThen := then[name]
		item := kind + " " + name
		switch {
		case !inNow:
			found = append(found, difference{Item: item, Now: "absent", Then: "added"})
		case !inThen:
			found = append(found, difference{Item: item, Now: "present", Then: "removed"})
		case before != after:
			found = append(found, compareFields(item, before, after)...)
		}
	}
	return found
}

func compareFields(item string, before, after any) []difference {
	var found []difference
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if !a.Field(i).Equal(b.Field(i)) {
			found = append(found, difference{Item: item, Field: a.Type().Field(i).Name,
				Now: fmt.Sprint(a.Field(i)), Then: fmt.Sprint(b.Field(i))})
		}
	}
	return found
}
