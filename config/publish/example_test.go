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
	fmt.Println(first.Status, first.Version, err) // read back: the answer was lost

	out, err := config.SetState(text, config.SectionDataCentre, "dk2", "out")
	if err != nil {
		panic(err)
	}
	late, err := p.Publish(context.Background(), 0, out)
	fmt.Println(late.Status, late.Detail, err)
	for _, line := range strings.Split(late.Diff, "\n") {
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
