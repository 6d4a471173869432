/*
 * budget.pml -- a program's budget on the serving path (src/ledger.c,
 * src/account.c, src/guarantor.c).
 *
 * Homes draw from the program's row by conditional writes whose answers may be
 * lost, give back what they do not use, die and forget.  While the store is out
 * they borrow from the guarantor, which may die as well; its successor is not
 * sure of what was lent.  Tokens handed out never exceed the budget and one
 * turn.
 *
 *	BUDGET, PART	tokens; of the guarantor.  A turn takes one.
 *	CRASHES, LOSSES, OUTAGES	at the most
 *
 * Mutants: MUT_NO_HOLD_BACK (draws take the guarantor's part as well),
 * MUT_LEND_AFTER_RELEASE, MUT_SURE_AFTER_RESTART, MUT_BLIND_WRITE (without its condition),
 * MUT_REUSE_RETURNED (tokens given back are used on when the answer was lost).
 */
#ifndef BUDGET
#define BUDGET 4
#endif
#ifndef PART
#define PART 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#define MOST 1
#define DRAW 2
#define HOMES 2
#define WRITES 4 /* of the row */

byte row_granted, row_lent, row_ver;
bool row_released, out;
byte lent; /* by the guarantor */
bool released;
bool sure = true;
byte crashes, losses, outages, spent;

#ifdef MUT_NO_HOLD_BACK
#define OPEN(rel, l) (rel -> BUDGET - l : BUDGET)
#else
#define OPEN(rel, l) (rel -> BUDGET - l : BUDGET - PART + MOST)
#endif
#ifdef MUT_LEND_AFTER_RELEASE
#define MAY_LEND sure
#else
#define MAY_LEND (sure && !released)
#endif
#ifdef MUT_BLIND_WRITE
#define UNCHANGED(v) true
#else
#define UNCHANGED(v) (row_ver == v)
#endif

/* The answer of a write or of the guarantor arrives, or is lost. */
inline answered(ok)
{
	if
	:: ok = true
	:: losses < LOSSES -> losses++; ok = false
	fi
}

proctype home()
{
	byte have, ver, granted, rel_lent, amount;
	bool rel, ok, known;

end:
	do
	:: atomic { have >= MOST ->
		have = have - MOST;
		spent = spent + MOST;
		assert(spent <= BUDGET + MOST)
	   }
	/* Reads the row. */
	:: atomic { !out && !known ->
		ver = row_ver;
		granted = row_granted;
		if
		:: row_released -> rel = true; rel_lent = row_lent
		:: else
		fi;
		known = true
	   }
	/* Draws: other homes may write between the reading and this. */
	:: atomic { !out && known && row_ver < WRITES &&
	    granted + MOST <= OPEN(rel, rel_lent) ->
		amount = (granted + DRAW <= OPEN(rel, rel_lent) -> DRAW : MOST);
		known = false;
		if
		:: UNCHANGED(ver) ->
			row_granted = granted + amount;
			row_released = rel;
			row_lent = rel_lent;
			row_ver++;
			answered(ok);
			if
			:: ok -> have = have + amount
			:: else
			fi
		:: else
		fi;
		amount = 0; ok = false; ver = 0; granted = 0
	   }
	/* Gives back. */
	:: atomic { !out && known && have > 0 && row_ver < WRITES &&
	    granted >= have ->
		amount = have;
		known = false;
		if
		:: UNCHANGED(ver) ->
			row_granted = granted - amount;
			row_released = rel;
			row_lent = rel_lent;
			row_ver++;
			answered(ok);
#ifdef MUT_REUSE_RETURNED
			have = (ok -> 0 : have)
#else
			have = 0
#endif
		:: else
		fi;
		amount = 0; ok = false; ver = 0; granted = 0
	   }
	/* Borrows. */
	:: atomic { out && MAY_LEND && lent + MOST <= PART ->
		lent = lent + MOST;
		answered(ok);
		if
		:: ok -> have = have + MOST
		:: else
		fi;
		ok = false
	   }
	/* Asks for the release of the rest. */
	:: atomic { sure && !rel ->
		released = true;
		answered(ok);
		if
		:: ok -> rel = true; rel_lent = lent
		:: else
		fi;
		ok = false
	   }
	:: atomic { crashes < CRASHES ->
		crashes++;
		have = 0; known = false; rel = false; rel_lent = 0;
		ver = 0; granted = 0
	   }
	od
}

proctype world()
{
end:
	do
	:: atomic { !out && outages < OUTAGES -> outages++; out = true }
	:: out = false
	:: atomic { crashes < CRASHES ->
		crashes++;
		lent = 0;
		released = false;
#ifndef MUT_SURE_AFTER_RESTART
		sure = false
#endif
	   }
	od
}

init
{
	atomic {
		run home();
		run home();
		run world()
	}
}
