package backingtest

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the answer to a prompt. The answer depends only on the
// prompt, so that a checker can verify that an answer is complete and belongs to
// its request.
func Token(prompt string, i int) string {
	return token(xxhash.Sum64String(prompt), i)
}

func token(hash uint64, i int) string {
	return fmt.Sprintf("%08x-%d ", uint32(hash), i)
}

// AnswerText returns the complete answer of n tokens to a prompt.
func AnswerText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
