package api_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/standin/site"
)

// An operator sets up a system with the key of its settings, then applies a text that
// names the operators. From then on the key of the settings must be refused: otherwise
// removing an operator from the text would not revoke that operator's access.
func TestSettingsKeyIsInvalidAfterFirstConfiguration(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	table := rows.New(time.Millisecond)
	shared := pool.Share(ctx, pool.New(pool.DefaultBounds()))
	s, err := site.Start(func(host int, _ logr.Logger) scheduler.Ports {
		rnd := rand.New(rand.NewPCG(uint64(host), 1))
		return scheduler.Ports{Store: rows.NewLink(table, rnd), Transport: pool.NewTransport(shared, 0, rnd), Roster: shared}
	}, site.WithHosts(1), site.WithOperatorKey(credential.NewKey("first").Hash()), site.WithSettings(settings.WithUnreadyTime(time.Millisecond)))
	is.NoErr(err)
	defer func() { is.NoErr(s.Stop()) }()
	host := s.CallerAddresses(0)[:1]
	settingsClient, accountClient := client.New(host, "first", nil), client.New(host, "named", nil)
	_, err = accountClient.Configuration(ctx)
	is.Equal(statusOf(err), http.StatusUnauthorized)
	_, err = settingsClient.Apply(ctx, 0, "change-1", "[account ops]\noperator = true\nkeyHash = "+credential.NewKey("named").Hash()+"\n")
	is.NoErr(err)
	for {
		if v, err := accountClient.Configuration(ctx); err == nil && v.Version == 1 {
			break
		}
		is.NoErr(ctx.Err()) // in force on the host that accepted it
		time.Sleep(10 * time.Millisecond)
	}
	_, err = settingsClient.Configuration(ctx)
	is.Equal(statusOf(err), http.StatusUnauthorized)
}

// statusOf returns the HTTP status of a host's error response, 0 for nil and for other
// errors.
func statusOf(err error) int {
	var problem *client.Error
	if errors.As(err, &problem) {
		return problem.Status
	}
	return 0
}
