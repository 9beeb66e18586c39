"""Paid codes: never carried as fresh twice unless it is proven that nothing ran."""

from hypothesis import given
from hypothesis import strategies as st

from copperyard.control.redemption import Fate, Redemptions, Verdict


def test_the_life_of_a_code():
    codes = Redemptions(10)
    assert codes.claim("A", 1) is Verdict.REDEEM and codes.claim("A", 2) is Verdict.BUSY
    codes.carried("A")
    codes.redeemed("A", "r1")
    assert codes.settle("A", 2) is None  # another's request settles nothing
    assert codes.settle("A", 1) is Fate.REDEEMED
    assert codes.claim("A", 3) is Verdict.RESUME and codes.receipt("A") == "r1"
    assert codes.settle("A", 3) is Fate.REDEEMED


def test_a_code_whose_set_up_may_have_run_stays_unclear():
    codes = Redemptions(10)
    codes.claim("A", 1)
    codes.carried("A")
    assert codes.settle("A", 1) is Fate.UNCLEAR and codes.claim("A", 2) is Verdict.UNCLEAR


def test_a_code_that_provably_never_ran_is_as_good_as_new():
    codes = Redemptions(10)
    codes.claim("A", 1)
    codes.carried("A")
    codes.never_ran("A")
    assert codes.settle("A", 1) is None and codes.claim("A", 2) is Verdict.REDEEM
    codes.claim("B", 3)
    assert codes.settle("B", 3) is None and len(codes) == 1


def test_a_full_ledger_forgets_no_code():
    # seeds 1145 and 1454: a redeemed code that was forgotten went out as a fresh one
    codes = Redemptions(2)
    codes.claim("A", 1)
    codes.claim("B", 2)
    codes.carried("B")
    codes.redeemed("B", "r")
    codes.settle("B", 2)
    assert codes.claim("C", 3) is Verdict.CROWDED and codes.claim("B", 4) is Verdict.RESUME
    codes.settle("A", 1)  # it never left: as good as new, and its place is free
    assert codes.claim("C", 5) is Verdict.REDEEM and len(codes) == 2


@given(
    st.lists(
        st.tuples(st.sampled_from("ABC"), st.sampled_from(("claim", "carry", "prove", "redeem", "settle"))), max_size=60
    )
)
def test_no_order_of_events_carries_a_code_twice(steps):
    codes, ref, open_refs, may_have_run = Redemptions(50), 0, {}, {}
    for code, step in steps:
        if step == "claim":
            ref += 1
            verdict = codes.claim(code, ref)
            if verdict is Verdict.REDEEM:
                assert not may_have_run.get(code)
            if verdict in (Verdict.REDEEM, Verdict.RESUME):
                assert code not in open_refs
                open_refs[code] = (ref, verdict)
        elif code in open_refs and open_refs[code][1] is Verdict.REDEEM and step in ("carry", "prove", "redeem"):
            if step == "carry":
                codes.carried(code)
                may_have_run[code] = True
            elif step == "redeem" and may_have_run.get(code):
                codes.redeemed(code, "r")
                open_refs[code] = (open_refs[code][0], Verdict.RESUME)
            elif step == "prove":
                codes.never_ran(code)
                may_have_run[code] = False
        elif step == "settle" and code in open_refs:
            codes.settle(code, open_refs.pop(code)[0])
