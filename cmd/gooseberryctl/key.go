package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	"github.com/gooseberryflow/gooseberryflow/config"
)

const issueHelp = `Issues a key for a customer in the file in force and writes its text to standard
output. The text can't be shown again: the secret is generated here, and only a
salted hash of it is sent. Callers present the text as a bearer token.`

const listHelp = `Lists the issued keys, including withdrawn ones, of all customers or of --customer.`

const withdrawHelp = `Withdraws a key permanently. ID is the middle part of the key's text
gbf_ID_SECRET. Any node accepts the withdrawal, even if the platform's log is
unavailable.`

func (a *app) keyCommand() *ffcli.Command {
	group := a.newCommand("key", "gooseberryctl key issue|list|withdraw [flags] ...", "issue, list and withdraw callers' keys", "")
	issue := a.newCommand("issue", "gooseberryctl key issue [flags] CUSTOMER", "issue a key for a customer", issueHelp)
	issue.Exec = a.withArgs([]string{"CUSTOMER"}, a.issueKey)
	list := a.newCommand("list", "gooseberryctl key list [flags]", "list the issued keys", listHelp)
	customer := list.FlagSet.String("customer", "", "list only the keys of this `customer`")
	list.Exec = a.withArgs(nil, func(ctx context.Context, _ []string) error { return a.listKeys(ctx, *customer) })
	withdraw := a.newCommand("withdraw", "gooseberryctl key withdraw [flags] ID", "withdraw a key permanently", withdrawHelp)
	withdraw.Exec = a.withArgs([]string{"ID"}, a.withdrawKey)
	group.Subcommands = []*ffcli.Command{issue, list, withdraw}
	group.Exec = explainGroup(group)
	return group
}

type keyOutput struct {
	Key      string `json:"key"`
	ID       string `json:"id"`
	Customer string `json:"customer"`
}

func (a *app) issueKey(ctx context.Context, args []string) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	key, secret, err := config.NewKey(args[0])
	if err != nil {
		return err
	}
	p := &api.KeyPayload{ID: key.ID, Customer: key.Customer, Salt: key.Salt, Hash: key.Hash, Token: &a.token}
	err = changeAnyNode(ctx, f, func(ctx context.Context, c *api.Client) error { return c.IssueKey(ctx, p) })
	if exitCode(err) == exitUnknown {
		return exitf(exitUnknown, "%w\nthe key may have been issued, but its text is lost; withdraw it with:\n  gooseberryctl key withdraw %s", err, key.ID)
	}
	if err != nil {
		return err
	}
	return a.showKey(keyOutput{config.KeyText(key.ID, secret), key.ID, key.Customer})
}

func (a *app) showKey(out keyOutput) error {
	if a.json {
		return a.writeJSON(out)
	}
	if _, err := fmt.Fprintln(a.stdout, out.Key); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.stderr, "key %s of %s; this is the only time its text is shown\n", out.ID, out.Customer)
	return err
}

type listedKey struct {
	ID        string `json:"id"`
	Customer  string `json:"customer"`
	Withdrawn bool   `json:"withdrawn"`
}

func (a *app) listKeys(ctx context.Context, customer string) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	p := &api.ListKeysPayload{Token: &a.token}
	if customer != "" {
		p.Customer = &customer
	}
	list, err := readAnyNode(ctx, f, func(ctx context.Context, c *api.Client) (*api.KeyList, error) {
		return c.ListKeys(ctx, p)
	})
	if err != nil {
		return err
	}
	return a.showKeys(list)
}

func (a *app) showKeys(list *api.KeyList) error {
	keys := []listedKey{}
	for _, k := range list.Keys {
		keys = append(keys, listedKey{k.ID, k.Customer, k.Withdrawn})
	}
	if a.json {
		return a.writeJSON(keys)
	}
	t := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CUSTOMER\tID\tSTATE")
	for _, k := range keys {
		state := "valid"
		if k.Withdrawn {
			state = "withdrawn"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", k.Customer, k.ID, state)
	}
	return t.Flush()
}

func (a *app) withdrawKey(ctx context.Context, args []string) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	result, err := callAnyNode(ctx, f, func(ctx context.Context, c *api.Client) (*api.WithdrawResult, error) {
		return c.WithdrawKey(ctx, &api.WithdrawKeyPayload{ID: args[0], Token: &a.token})
	})
	if err != nil {
		return err
	}
	if !result.Known {
		fmt.Fprintf(a.stderr, "the node had not heard of key %s; check the ID\n", args[0])
	}
	return a.printDone("withdrawn", args[0])
}
