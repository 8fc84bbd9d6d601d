/*
 * The model of journals.pml for a set of four, one more than is usual, of which one is dropped: fewer votes are needed
 * afterwards, while a turn may stand at one remaining member only.
 */

#define FOUR_MEMBERS

/* Guards that matter here beside those of journals.pml, which need not all matter here. */
#ifdef NO_COPY_BEFORE_MISSING
#define MISSES_UNCOPIED
#endif
#ifdef NO_VOTE_UNDER_THE_SAME_SET
#define VOTES_CARRY_OVER
#endif

#include "journals.pml"
