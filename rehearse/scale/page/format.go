package page

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"laddertide/rehearse/scale/slope"
)

// significant is how many digits a measured figure is printed with. Budgets and parameters are printed whole.
const significant = 3

// number prints a figure that is given, all of it.
func number(x float64) string { return commas(strconv.FormatFloat(x, 'f', -1, 64)) }

// sure is how many digits of a figure are the same on all machines. The last ones are not, and would decide how one halfway between two
// is printed.
const sure = 13

// measured prints a figure that was measured.
func measured(x float64) string {
	if x == 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return strconv.FormatFloat(x, 'g', significant, 64)
	}
	x, _ = strconv.ParseFloat(strconv.FormatFloat(x, 'e', sure-1, 64), 64)
	digits := significant - 1 - int(math.Floor(math.Log10(math.Abs(x))))
	if digits > 9 {
		return strconv.FormatFloat(x, 'g', significant, 64)
	}
	return commas(strconv.FormatFloat(x, 'f', max(0, digits), 64))
}

// value prints a parameter: whole numbers with all their digits.
func value(x float64) string {
	if x == math.Trunc(x) && math.Abs(x) < 1e15 {
		return number(x)
	}
	return measured(x)
}

// commas groups the digits before the point by three.
func commas(text string) string {
	sign := ""
	if strings.HasPrefix(text, "-") {
		sign, text = "-", text[1:]
	}
	whole, rest, point := strings.Cut(text, ".")
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if point {
		whole += "." + rest
	}
	return sign + whole
}

// interval prints an estimate with its interval.
func interval(e slope.Estimate) string {
	if e.Low == e.High {
		return measured(e.Value)
	}
	return fmt.Sprintf("%s (%s to %s)", measured(e.Value), measured(e.Low), measured(e.High))
}

// table builds a table in Markdown.
type table struct{ text strings.Builder }

func newTable(columns ...string) *table {
	t := &table{}
	t.row(columns...)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	t.row(rule...)
	return t
}

func (t *table) row(cells ...string) {
	for _, cell := range cells {
		t.text.WriteString("| " + escape(cell) + " ")
	}
	t.text.WriteString("|\n")
}

func (t *table) String() string { return t.text.String() }

// code puts a command into a cell.
func code(text string) string { return "`" + text + "`" }
