package admission_test

import (
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/admission"
)

func TestGateShedsByClass(t *testing.T) {
	cases := []struct {
		name  string
		open  int
		takes map[admission.Class]bool
	}{
		{"empty", 0, map[admission.Class]bool{admission.Ordinary: true, admission.Guaranteed: true, admission.Urgent: true}},
		{"below the first share", 79, map[admission.Class]bool{admission.Ordinary: true, admission.Guaranteed: true, admission.Urgent: true}},
		{"ordinary is shed", 80, map[admission.Class]bool{admission.Ordinary: false, admission.Guaranteed: true, admission.Urgent: true}},
		{"guaranteed is shed", 95, map[admission.Class]bool{admission.Ordinary: false, admission.Guaranteed: false, admission.Urgent: true}},
		{"full", 100, map[admission.Class]bool{admission.Ordinary: false, admission.Guaranteed: false, admission.Urgent: false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			gate, err := admission.New(100)
			is.NoErr(err)
			for class, want := range c.takes {
				is.Equal(gate.Takes(class, c.open), want) // class in its order of shedding
			}
		})
	}
}

func TestNewRefusesNoRoom(t *testing.T) {
	is := is.New(t)
	_, err := admission.New(0)
	is.True(err != nil)
}
