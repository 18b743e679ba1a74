/*
 * Publication of the configuration: two operators change it through two daemons, a third daemon learns it from peers.
 * Any daemon may be paused at any point, answers of the table service may be lost, messages arrive late and reordered,
 * and the store comes back once with an older row. Functions are those of packages/configuration/src/configuration.ts.
 *
 * ANY_VERSION   a daemon takes over whatever version it is given, also a lower one
 * BLIND_ANSWER  a lost answer is reported as a refusal without reading back
 * NO_WRITE_BACK the store is not corrected after it came back with an older row
 */
#define DAEMONS 3
#define NONE 255

byte rowVersion = 1, rowConfiguration = 0, rowNonce = NONE;  /* the version of the row is not that of the configuration */
byte oldConfiguration = 0;
bool restored = false;
byte known[DAEMONS] = 0;            /* version in effect at each daemon */
byte accepted = 0;                  /* highest version that an operator was told to be accepted */
bool refusedButDone = false;
byte message[DAEMONS] = 0;          /* last push on its way to each daemon, 0 if none; later ones overtake it */
byte finished = 0;

inline adopt(id, version) {         /* Step.adopt() */
#ifdef ANY_VERSION
	if
	:: version != 0 ->
#else
	if
	:: version > known[id] ->
#endif
		assert(version >= known[id]);
		known[id] = version
	:: else -> skip
	fi
}

proctype Operator(byte id) {
	byte seenRow, based, next;
	bool wrote = false, settled = false;
	atomic { seenRow = rowVersion; adopt(id, rowConfiguration); based = known[id]; next = based + 1 };    /* Step.apply(), applyOver() */
	atomic {                                                   /* nextStored(), compare-and-set */
		if
		:: rowVersion == seenRow -> rowVersion++; oldConfiguration = rowConfiguration; rowConfiguration = next; rowNonce = id; wrote = true
		:: else -> skip
		fi
	};
	if
	:: settled = true                                          /* the answer arrives */
	:: skip                                                    /* it is lost: readBackLater(), applyOver() */
	fi;
	atomic {
		if
		:: settled && wrote -> accepted = (next > accepted -> next : accepted)
		:: settled && !wrote -> adopt(id, rowConfiguration)
#ifdef BLIND_ANSWER
		:: !settled -> refusedButDone = wrote
#else
		:: !settled && wrote && rowNonce == id -> accepted = (next > accepted -> next : accepted)
		:: !settled && wrote && rowNonce != id -> accepted = (next > accepted -> next : accepted)   /* its nonce is among the kept ones */
		:: !settled && !wrote -> adopt(id, rowConfiguration)
#endif
		fi;
		assert(!refusedButDone);
		if
		:: wrote && !refusedButDone -> adopt(id, next); message[2] = next; message[1 - id] = next   /* push */
		:: else -> skip
		fi;
		finished++
	}
}

proctype Receiver(byte id) {
end:	do
	:: atomic { message[id] != 0 -> adopt(id, message[id]); message[id] = 0 }          /* Step.offered() */
	:: atomic { known[0] > known[id] || known[1] > known[id] || known[2] > known[id] ->     /* peerVersion(), pulled() */
		if
		:: known[0] > known[id] -> adopt(id, known[0])
		:: known[1] > known[id] -> adopt(id, known[1])
		:: known[2] > known[id] -> adopt(id, known[2])
		fi }
	:: atomic { rowConfiguration > known[id] -> adopt(id, rowConfiguration) }                /* polled() */
#ifndef NO_WRITE_BACK
	:: atomic { restored && rowConfiguration < known[id] -> rowVersion++; rowConfiguration = known[id] }   /* writeBack() */
#endif
	od
}

/* Once, after both changes, the store comes back with the row before the last. */
proctype Store() {
	atomic { finished == 2 -> restored = true; if :: rowConfiguration = oldConfiguration :: skip fi; rowVersion++ };
	/* timeout: nothing else can happen. All have the last accepted version, and so has the store. */
	timeout;
	assert(known[0] >= accepted && known[1] >= accepted && known[2] >= accepted);
	assert(rowConfiguration >= accepted)
}

init { atomic { run Operator(0); run Operator(1); run Receiver(0); run Receiver(1); run Receiver(2); run Store() } }
