/*
 * Claim of a non-idempotent request: two daemons get the same request (its caller sends it again), either may be paused
 * at any point, answers of the table service may be lost. The functions are to be those of packages/claims; the steps
 * are those of docs/design.md, section 6.
 *
 * NO_CLAIM    the request is sent without a claim row
 * NO_SEND_BY  the edge does not compare the time with sendBy, and the claimant gives up by its own clock
 */
#define SEND_FOR 1
#define END 5
#define NONE 255

mtype = { absent, claimed, notRun, ran };

byte now = 0;
mtype row = absent;
byte rowNonce = NONE;
byte runs = 0;
byte toldNotRun = 0;

active proctype Clock() {
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

mtype = { none, sent, late };
bool toSend[2] = false;
byte sendBy[2] = 0;
mtype report[2] = none;

/* UpstreamConnections.run(): the time is checked again right before the write. */
proctype Edge(byte id) {
end:	toSend[id];
	atomic {
		if
#ifndef NO_SEND_BY
		:: now > sendBy[id] -> report[id] = late
		:: now <= sendBy[id] ->
#else
		:: true ->
#endif
			runs++; report[id] = sent;
			assert(runs <= 1);
			assert(toldNotRun == 0)
		fi
	}
}

proctype Daemon(byte id) {
	bool mine = false, lost = false;
	sendBy[id] = now + SEND_FOR;                   /* from when the claim is requested */
#ifndef NO_CLAIM
	atomic {                                       /* insert by compare-and-set */
		if
		:: row == absent -> row = claimed; rowNonce = id; mine = true
		:: else -> skip
		fi;
		if
		:: lost = true                         /* the answer is lost after the write took effect */
		:: skip
		fi
	};
	if
	:: lost -> atomic { mine = (row != absent && rowNonce == id) }   /* read back and compare the nonce */
	:: else -> skip
	fi;
#else
	mine = true;
#endif
	if
	:: mine ->
		toSend[id] = true;
		if
		:: atomic { report[id] == sent ->
			if
			:: row == claimed && rowNonce == id -> row = ran
			:: else -> skip
			fi }
#ifdef NO_SEND_BY
		:: atomic { report[id] == none && now > sendBy[id] ->
#else
		:: atomic { report[id] == late ->
#endif
			/* Only the claimant resolves the row as not-run. */
			if
			:: row == claimed && rowNonce == id -> row = notRun
			:: else -> skip
			fi;
			toldNotRun++;
			assert(runs == 0) }
		fi
	:: else ->
		/* A repeat gets the recorded outcome, or unknown. */
		atomic {
			if
			:: row == notRun -> toldNotRun++; assert(runs == 0)
			:: row == ran -> assert(runs == 1)
			:: else -> skip
			fi
		}
	fi
}

init { atomic { run Daemon(0); run Edge(0); run Daemon(1); run Edge(1) } }
