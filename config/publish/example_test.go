package publish_test

import (
	"context"
	"fmt"
	"os"
	"strings"

	"marjorampitch/backing/backingtest"
	"marjorampitch/config"
	"marjorampitch/config/publish"
)

func ExamplePublisher_Publish() {
	text, err := os.ReadFile("../../examples/bryllupslyd.ini")
	if err != nil {
		panic(err)
	}
	log := backingtest.NewLog()
	log.SetFaults(backingtest.LogFaults{LoseAnswers: 1})
	p := publish.NewPublisher(log, "bryllupslyd", "anna")

	first, err := p.Publish(context.Background(), 0, text)
	fmt.Println(first.Status, first.Version, err) // the answer to the append was lost; the change was read back

	out, err := config.SetState(text, config.SectionDataCentre, "dk2", "out")
	if err != nil {
		panic(err)
	}
	stale, err := p.Publish(context.Background(), 0, out)
	fmt.Println(stale.Status, stale.Detail, err)
	for _, line := range strings.Split(stale.Diff, "\n") {
		if strings.HasPrefix(line, "-") || strings.HasPrefix(line, "+") {
			fmt.Println(line)
		}
	}
	// Output:
	// accepted 1 <nil>
	// refused the change is based on version 0, current is 1 <nil>
	// --- version 1
	// +++ refused
	// -state = in
	// +state = out
}
