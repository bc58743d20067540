package scheduler

import (
	"fmt"
	"io"

	"ryepulley/figures"
	"ryepulley/operator"
)

// Operator is what the operator's file turns on. A part that is nil is off.
type Operator struct {
	Figures *figures.Settings

	Stderr io.Writer // where lines for standard error go; nil: there
}

// LoadOperator reads the operator's file. A section that is there turns its feature on.
func LoadOperator(path string) (Operator, error) {
	var op Operator
	file, err := operator.Load(path, "figures")
	if err != nil {
		return op, err
	}
	op.Figures, err = section(file, "figures", figures.Parse, err)
	return op, err
}

// section reads one feature's settings, unless an earlier one had an error.
func section[T any](file *operator.File, name string, parse func(*operator.Section) (T, error), before error) (*T, error) {
	s := file.Section(name)
	if s == nil || before != nil {
		return nil, before
	}
	set, err := parse(s)
	return &set, err
}

// descriptors and memory are what the features take of the machine's limits.
func (op *Operator) descriptors() (n int) {
	if op.Figures != nil {
		n += op.Figures.Descriptors()
	}
	return n
}

func (op *Operator) memory() (n int) {
	if op.Figures != nil {
		n += figures.MemoryBytes
	}
	if n > 0 {
		n += stderrBytes
	}
	return n
}

// stderrBytes is for lines that wait for standard error to be read.
const stderrBytes = 256 << 10

// check reports if the features leave too little of the machine for the scheduler itself.
func (op *Operator) check(c *Config) error {
	if c.Limits.MemoryMB > 0 && float64(op.memory()) > c.Limits.MemoryMB*(1<<20)/4 {
		return fmt.Errorf("operator's file: its features may take %d bytes, over a quarter of limits.memory_mb: %s",
			op.memory(), "lower their bounds")
	}
	return nil
}
