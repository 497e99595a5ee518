package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/admit"
	"marjorampitch/config"
	"marjorampitch/logfold"
	"marjorampitch/wire"
)

// documentView is the view of a process with a document in force.
type documentView struct {
	ConfigView
	doc *logfold.ActiveDocument
}

func (v documentView) Document() *logfold.ActiveDocument { return v.doc }

// The document's crash limit applies; without a document the default does.
func TestCrashLimitOfDocument(t *testing.T) {
	for name, c := range map[string]struct {
		doc     *logfold.ActiveDocument
		crashes int
	}{
		"no document": {nil, defaultCrashLimit},
		"lowest":      {&logfold.ActiveDocument{Doc: &config.Document{Limits: config.Limits{CrashLimit: 1}}}, 1},
		"highest":     {&logfold.ActiveDocument{Doc: &config.Document{Limits: config.Limits{CrashLimit: 10}}}, 10},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(wire.Hello{}, documentView{doc: c.doc}).Quarantine()
			for i := range c.crashes {
				require.Equal(t, admit.Run, q.Check(7), "after %d crashes", i)
				q.RecordCrash(uint64(i+1), []uint64{7}, false)
			}
			require.Equal(t, admit.RunAlone, q.Check(7), "after %d crashes", c.crashes)
		})
	}
}
