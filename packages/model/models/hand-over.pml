/*
 * Hand-over of one group to its trainer. Two daemons may both believe that they own the step, either may be paused at any
 * point, answers of the table service and of the daemon to the trainer may be lost. The functions are to be those of
 * packages/rollouts; the steps are those of docs/design.md, section 4, "Training hand-over".
 *
 * NO_ROW_CHECK      a complete group is handed over without the compare-and-set to handed
 * NO_FETCH_COMPARE  a group that was handed over is given to any fetchId
 */
#define NONE 255

mtype = { complete, handed, acked };
mtype row = complete;
byte rowFetch = NONE;
byte rowVersion = 1;
byte trained = 0;                   /* times the trainer has used the group */
byte askedFetch = NONE;             /* fetch on its way to some daemon */
byte answerFetch = NONE;            /* answer on its way to the trainer */
bool ack = false;
bool isEnded = false;
byte fetches = 0;

proctype Daemon(byte id) {
	byte fetch, seenVersion, seenFetch;
	mtype seen;
	bool won;
end:	do
	:: atomic { askedFetch != NONE -> fetch = askedFetch; askedFetch = NONE };
		atomic { seen = row; seenFetch = rowFetch; seenVersion = rowVersion };     /* read the row */
		if
		:: seen == complete ->
#ifdef NO_ROW_CHECK
			won = true;
#else
			atomic {                                                           /* compare-and-set to handed with the fetchId */
				won = false;
				if
				:: rowVersion == seenVersion -> row = handed; rowFetch = fetch; rowVersion++; won = true
				:: else -> skip
				fi
			};
			if
			:: skip                                                            /* the answer arrives */
			:: atomic { won = (row == handed && rowFetch == fetch) }           /* lost: read back, compare the fetchId */
			fi;
#endif
			if
			:: won -> answerFetch = fetch
			:: else -> skip
			fi
#ifdef NO_FETCH_COMPARE
		:: seen == handed -> answerFetch = fetch
#else
		:: seen == handed && seenFetch == fetch -> answerFetch = fetch     /* a repeat gets the same group */
#endif
		:: else -> skip                                                    /* another fetchId does not */
		fi
	:: atomic { ack -> ack = false; if :: row == handed -> row = acked; rowVersion++ :: else -> skip fi }
	:: isEnded -> break
	od
}

/* Uses a group once for each fetchId; it keeps no list of groups. */
proctype Trainer() {
	byte fetchId = 0, usedFetch = NONE;
	do
	:: atomic { fetches < 4 && askedFetch == NONE -> fetches++; askedFetch = fetchId }   /* also a repeat of a fetch whose answer was lost */
	:: atomic { answerFetch != NONE ->
		if
		:: answerFetch == fetchId && usedFetch != fetchId -> trained++; usedFetch = fetchId; ack = true; assert(trained <= 1)
		:: else -> skip
		fi;
		answerFetch = NONE }
	:: atomic { answerFetch != NONE -> answerFetch = NONE }                              /* the answer is lost */
	:: atomic { usedFetch == fetchId && fetchId < 2 -> fetchId++ }                       /* the next fetch */
	:: fetches == 4 && askedFetch == NONE -> break
	od;
	isEnded = true
}

init { atomic { run Daemon(0); run Daemon(1); run Trainer() } }
