package main

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"

	"marjorampitch/logfold"
	"marjorampitch/platform"
)

// publish appends the example documents.
func (d *demo) publish(ctx context.Context) error {
	log := platform.NewLogClient(d.logURL)
	for _, service := range []string{"bryllupslyd", "caroni-watch"} {
		text, err := os.ReadFile("examples/" + service + ".ini")
		if err != nil {
			return err
		}
		packed, err := logfold.Pack(text)
		if err != nil {
			return err
		}
		change := logfold.ConfigChange{Service: service, Format: 1, Document: packed, Author: "demo", Nonce: uuid.NewString()}
		record, err := change.MarshalMsg(nil)
		if err != nil {
			return err
		}
		offset, err := log.Append(ctx, logfold.ConfigStream(service), [][]byte{record})
		if err != nil {
			return err
		}
		fmt.Printf("   %s published at offset %d\n", service, offset)
	}
	return nil
}
