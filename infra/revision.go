package infra

// revisionsPerEra is the number of revisions that an era can have. It is a power of ten so
// that both parts of a revision can be read in logs, and leaves room for 9,007 eras in
// the integers that JSON readers keep exactly.
const revisionsPerEra = 1_000_000_000_000

// Revision returns the revision with a number in an era. A service counts its revisions by
// numbers. When it is restored from an older copy, the numbers go back and a new era
// begins. Drivers combine both so that revisions never go back. The number 0, for a
// key that doesn't exist, is the revision 0 in every era.
func Revision(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era*revisionsPerEra + number
}

// Era returns the era of a revision: the number of times that the service had been
// restored from an older copy.
func Era(revision int64) int64 { return revision / revisionsPerEra }

// RevisionNumber returns the number by which the service counts a revision.
func RevisionNumber(revision int64) int64 { return revision % revisionsPerEra }
