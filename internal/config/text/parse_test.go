package text_test

import (
	_ "embed"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// valid is a text without faults, which the test cases modify.
//
//go:embed testdata/valid.ini
var valid string

// A service whose targets are of several speeds learns them only if its text says so.
func TestSpeeds(t *testing.T) {
	for value, want := range map[string]bool{"": false, "speeds = alike\n": false, "speeds = learned\n": true} {
		is := is.New(t)
		c, err := text.Parse([]byte(strings.Replace(valid, "objectiveTarget", value+"objectiveTarget", 1)))
		is.NoErr(err)
		learned := 0
		for _, name := range c.Services() {
			if s, _ := c.Service(name); s.LearnsSpeeds() {
				learned++
			}
		}
		is.Equal(learned == 1, want)
	}
	_, err := text.Parse([]byte(strings.Replace(valid, "objectiveTarget", "speeds = fast\nobjectiveTarget", 1)))
	is.New(t).True(err != nil)
}

// Weights in a job's section apply to that kind; an unknown kind has the service's.
func TestJobWeightsOverrideService(t *testing.T) {
	is := is.New(t)
	c, err := text.Parse([]byte(strings.Replace(valid, "declared = 2s", "completionWeight = 0.1\nfragmentationWeight = 1", 1)))
	is.NoErr(err)
	s, _ := c.Service("refill")
	completion, fragmentation := s.Weights("order")
	is.Equal([]float64{completion, fragmentation}, []float64{0.1, 1})
	completion, fragmentation = s.Weights("another")
	is.Equal([]float64{completion, fragmentation}, []float64{0.8, 0.2}) // the service's
}

// The values of a valid text are found in the configuration.
func TestParse(t *testing.T) {
	is := is.New(t)
	c, err := text.Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(c.Services(), []string{"catalogue", "refill"})
	s, ok := c.Service("refill")
	is.True(ok)
	is.Equal(s.Completion(), 0.8)
	is.Equal(s.DependsOn(), []string{"catalogue"})
	is.Equal(s.Objective(), text.Objective{Target: 0.99, Within: 10 * time.Second})
	is.True(!s.Headroom()) // the default
	k, ok := s.Kind("order")
	is.True(ok)
	is.Equal(k.Shape().String(), "2x8/rack")
	is.True(!k.Repeatable())
	is.True(!k.Stoppable())
	is.Equal(len(c.Guarantees("leon")), 1)
	is.True(c.Draining("127.0.0.1:7101"))
	a, ok := c.Account("kiosks")
	is.True(ok)
	is.True(a.Operator())
}

// Headroom is on only where the text says so; another word than on or off is a fault.
func TestHeadroom(t *testing.T) {
	is := is.New(t)
	for word, want := range map[string]bool{"on": true, "off": false} {
		c, err := text.Parse([]byte("[service a]\nheadroom = " + word + "\n"))
		is.NoErr(err)
		s, _ := c.Service("a")
		is.Equal(s.Headroom(), want)
	}
	_, err := text.Parse([]byte("[service a]\nheadroom = 1\n"))
	is.True(err != nil)
}

// Each case replaces a piece of the valid text. One of the faults must have the given
// line and reason.
func TestCheckReportsFaultyLine(t *testing.T) {
	const key = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	cases := []struct {
		name, old, new string
		line           int
		reason         string
	}{
		{"unknown kind of section", "[target", "[worker", 29, "unknown kind of section"},
		{"section without a name", "[service catalogue]", "[service]", 13, `name "": want`},
		{"section not closed", "[service catalogue]", "[service catalogue", 13, "invalid section header"},
		{"duplicate section", "[target 127.0.0.1:7101]", "[service refill]", 29, "duplicate section, first on line 7"},
		{"key before any section", "[zone leon]\n", "racks = 1\n[zone leon]\n", 1, "key before the first section"},
		{"unknown key", "weight = 2", "wieght = 2", 22, "unknown key; known here: keyHash, weight, operator"},
		{"duplicate key", "weight = 2", "weight = 2\nweight = 3", 23, "weight: duplicate key, first on line 22"},
		{"no equals sign", "weight = 2", "weight 2", 22, "no equals sign"},
		{"empty value", "weight = 2", "weight =", 22, "empty value"},
		{"bad number", "members = 2", "members = two", 15, `"two" is not a whole number`},
		{"hexadecimal number", "members = 2", "members = 0x2", 15, "not a whole number"},
		{"NaN", "completionWeight = 0.8", "completionWeight = NaN", 8, "out of range, want 0 to 1"},
		{"weight out of range", "completionWeight = 0.8", "completionWeight = 1.5", 8, "out of range, want 0 to 1"},
		{"both weights 0", "Weight = 0.8\nfragmentationWeight = 0.2", "Weight = 0\nfragmentationWeight = 0", 8, "both weights are 0"},
		{"one of a job's weights", "declared = 2s", "declared = 2s\ncompletionWeight = 1", 14, "set together"},
		{"both weights of a job 0", "declared = 2s", "completionWeight = 0\nfragmentationWeight = 0", 19, "both weights are 0"},
		{"bad duration", "declared = 2s", "declared = 2", 19, `"2" is not a duration`},
		{"bad boolean", "repeatable = false", "repeatable = never", 18, `"never" is not true or false`},
		{"objective out of range", "objectiveTarget = 0.99", "objectiveTarget = 99", 10, "out of range"},
		{"objective without a time", "objectiveWithin = 10s\n", "", 7, "set together"},
		{"missing key hash", "keyHash = " + key + "\n", "", 20, "missing"},
		{"key hash not hexadecimal", "9f86d0", "9g86d0", 21, "not a SHA-256"},
		{"key hash too short", "9f86d0", "9f", 21, "not a SHA-256"},
		{"key shared by two accounts", "[target", "[account salons]\nkeyHash = " + key + "\n[target", 30, "same key as account kiosks"},
		{"no operator", "operator = true", "operator = false", 23, "nobody could change"},
		{"unknown service of a job", "[job refill.", "[job refil.", 14, `service "refil" is not described`},
		{"unknown dependency", "dependsOn = catalogue", "dependsOn = catalog", 12, `service "catalog" is not described`},
		{"dependency cycle", "[service catalogue]", "[service catalogue]\ndependsOn = refill", 12, "refill -> catalogue -> refill"},
		{"service that depends on itself", "[service catalogue]", "[service catalogue]\ndependsOn = catalogue", 14, "catalogue -> catalogue"},
		{"unknown account of a guarantee", "[guarantee kiosks.", "[guarantee kiosk.", 24, `account "kiosk" is not described`},
		{"name without an owner", "[guarantee kiosks.orders]", "[guarantee kiosks]", 24, "want OWNER.NAME"},
		{"unknown zone of a guarantee", "zones = leon", "zones = leon, lyon", 25, `zone "lyon" is not described`},
		{"empty element of a list", "zones = leon", "zones = leon,,", 25, "empty element in the list"},
		{"unknown adjacency", "adjacency = rack\nrep", "adjacency = row\nrep", 17, `"row" is not one of any, rack, worker`},
		{"too many members", "members = 2", "members = 65", 15, "out of range, want 1 to 64"},
		{"more accelerators than any worker", "accelerators = 8\nadjacency = rack\nrep", "accelerators = 9\nadjacency = rack\nrep", 14, "fits in none of the described zones"},
		{"guarantee larger than a rack", "members = 2\naccelerators = 8\nadjacency = rack\n[", "members = 3\naccelerators = 8\nadjacency = rack\n[", 24, "zone leon: "},
		{"more gangs than racks", "zones = leon\n", "zones = leon\ncount = 3\n", 24, "does not fit beside the guarantees before it"},
		{"guarantees too large together", "[target", "[guarantee kiosks.more]\nzones = leon\nmembers = 3\naccelerators = 8\n[target", 29, "does not fit beside the guarantees before it"},
		{"more racks than workers", "racks = 2", "racks = 5", 3, "5 racks for 4 workers"},
		{"stoppable but not repeatable", "repeatable = false", "repeatable = false\nstoppable = true", 19, "cannot be stopped and started again"},
		{"multi-line value", "weight = 2", "weight = `2\n`", 22, "multi-line values"},
		{"reference to a key", "weight = 2", "weight = %(weight)s", 22, "references to other keys"},
		{"not UTF-8", "weight = 2", "weight = \xff", 22, "not UTF-8"},
		{"control character", "weight = 2", "weight = 2\x00", 22, "control character U+0000"},
		{"very long line", "weight = 2", "weight = " + strings.Repeat("2", 70000), 22, "the limit is 65536"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, c.old)) // the case modifies the text
			faults := text.Check([]byte(strings.Replace(valid, c.old, c.new, 1)))
			for _, f := range faults {
				if f.Line == c.line && strings.Contains(f.Error(), c.reason) {
					return
				}
			}
			t.Fatalf("want line %d: %s\ngot\n%v", c.line, c.reason, faults)
		})
	}
}

// Three faults in different sections are all reported, sorted by line.
func TestCheckReportsAllFaults(t *testing.T) {
	is := is.New(t)
	body := strings.NewReplacer("weight = 2", "weight = x", "racks = 2", "racks 2", "[target", "[trgt").Replace(valid)
	_, err := text.Parse([]byte(body))
	var faults text.Faults
	is.True(errors.As(err, &faults))
	var lines []int
	for _, f := range faults {
		lines = append(lines, f.Line)
	}
	is.Equal(lines, []int{3, 22, 29})
}

// Line ends, a byte order mark, comments and spaces do not matter; a text without
// sections is a fault.
func TestCheckWholeTexts(t *testing.T) {
	cases := []struct {
		name, body string
		valid      bool
	}{
		{"empty", "", false},
		{"comments only", "# nothing\n; at all\n", false},
		{"CRLF", strings.ReplaceAll(valid, "\n", "\r\n"), true},
		{"byte order mark", "\ufeff" + valid, true},
		{"no newline at the end", strings.TrimSpace(valid), true},
		{"comments after values", strings.ReplaceAll(valid, "weight = 2", "weight = 2 # twice a salon"), true},
		{"spaces in a section", strings.ReplaceAll(valid, "[service refill]", " [ service  refill ] ; kiosks"), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := text.Check([]byte(c.body))
			if (len(faults) == 0) != c.valid {
				t.Fatalf("got faults\n%v", faults)
			}
		})
	}
}

// TestSectionOrderDoesNotMatter shuffles the sections, at random by seed. The
// configuration must stay the same, except that guarantees keep the order of the text;
// the text here has only one.
func TestSectionOrderDoesNotMatter(t *testing.T) {
	parts := strings.Split(strings.TrimPrefix(valid, "["), "\n[")
	want, err := text.Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	seeded.Check(t, func(t *rapid.T) {
		body := "[" + strings.Join(rapid.Permutation(parts).Draw(t, "order"), "\n[") + "\n"
		got, err := text.Parse([]byte(body))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(got, want)
	})
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"recargaBella", "spf"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := os.ReadFile("../../../examples/" + name + ".ini")
			is.NoErr(err)
			c, err := text.Parse(body)
			is.NoErr(err)
			is.Equal(len(c.Accounts()), 5) // four clients and the automation
		})
	}
}

// TestEachKeyIsDocumented looks for each key in docs/CONFIGURATION.md. It takes the keys
// from the fault of an unknown key, which lists the known ones.
func TestEachKeyIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	is.NoErr(err)
	for _, section := range []string{"zone a", "service a", "job a.b", "account a", "guarantee a.b", "target a"} {
		faults := text.Check([]byte("[" + section + "]\nnoSuchKey = 1\n")).Error()
		_, known, ok := strings.Cut(faults, "known here: ")
		is.True(ok)
		known, _, _ = strings.Cut(known, "\n")
		for _, key := range strings.Split(known, ", ") {
			if !strings.Contains(string(page), "`"+key+"`") {
				t.Errorf("key %s of [%s] is not documented", key, section)
			}
		}
	}
}

// For any text, Parse fails exactly if Check reports faults, and each fault has a reason
// and, unless it concerns the whole text, a line of the text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("\ufeff[zone a]\r\nworkers = 0\r\n[job a.b]\nmembers = -1\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		faults := text.Check(body)
		c, err := text.Parse(body)
		if (err == nil) != (len(faults) == 0) || (err == nil) != (c != nil) {
			t.Fatalf("Parse returned %v, Check %v", err, faults)
		}
		lines := strings.Count(string(body), "\n") + 1
		for _, fault := range faults {
			whole := strings.HasPrefix(fault.Reason, "empty text") || strings.HasPrefix(fault.Reason, "text has")
			if fault.Reason == "" || fault.Line > lines || fault.Line < 1 && !whole {
				t.Fatalf("fault without a line or reason: %+v", fault)
			}
		}
	})
}
