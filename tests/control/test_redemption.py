"""Paid codes: never sent as fresh twice unless it is proven that nothing ran."""

from hypothesis import given
from hypothesis import strategies as st

from copperyard.control.redemption import ClaimResult, CodeState, Redemptions


def test_the_life_cycle_of_a_code():
    codes = Redemptions(10)
    assert codes.claim("A", 1) is ClaimResult.REDEEM and codes.claim("A", 2) is ClaimResult.BUSY
    codes.mark_sent("A")
    codes.mark_redeemed("A", "r1")
    assert codes.release("A", 2) is None  # another request's release has no effect
    assert codes.release("A", 1) is CodeState.REDEEMED
    assert codes.claim("A", 3) is ClaimResult.RESUME and codes.receipt("A") == "r1"
    assert codes.release("A", 3) is CodeState.REDEEMED


def test_a_code_whose_set_up_may_have_run_stays_unclear():
    codes = Redemptions(10)
    codes.claim("A", 1)
    codes.mark_sent("A")
    assert codes.release("A", 1) is CodeState.UNCLEAR and codes.claim("A", 2) is ClaimResult.UNCLEAR


def test_a_code_whose_set_up_provably_never_ran_is_unused_again():
    codes = Redemptions(10)
    codes.claim("A", 1)
    codes.mark_sent("A")
    codes.mark_never_ran("A")
    assert codes.release("A", 1) is None and codes.claim("A", 2) is ClaimResult.REDEEM
    codes.claim("B", 3)
    assert codes.release("B", 3) is None and len(codes) == 1


def test_a_full_table_drops_no_code():
    # seeds 1145 and 1454: a redeemed code that had been dropped was sent out as a fresh one
    codes = Redemptions(2)
    codes.claim("A", 1)
    codes.claim("B", 2)
    codes.mark_sent("B")
    codes.mark_redeemed("B", "r")
    codes.release("B", 2)
    assert codes.claim("C", 3) is ClaimResult.TABLE_FULL and codes.claim("B", 4) is ClaimResult.RESUME
    codes.release("A", 1)  # it was never sent, so it is unused and its place is free
    assert codes.claim("C", 5) is ClaimResult.REDEEM and len(codes) == 2


@given(
    st.lists(
        st.tuples(st.sampled_from("ABC"), st.sampled_from(("claim", "carry", "prove", "redeem", "settle"))), max_size=60
    )
)
def test_no_order_of_events_sends_a_code_twice(steps):
    codes, ref, open_refs, may_have_run = Redemptions(50), 0, {}, {}
    for code, step in steps:
        if step == "claim":
            ref += 1
            verdict = codes.claim(code, ref)
            if verdict is ClaimResult.REDEEM:
                assert not may_have_run.get(code)
            if verdict in (ClaimResult.REDEEM, ClaimResult.RESUME):
                assert code not in open_refs
                open_refs[code] = (ref, verdict)
        elif code in open_refs and open_refs[code][1] is ClaimResult.REDEEM and step in ("carry", "prove", "redeem"):
            if step == "carry":
                codes.mark_sent(code)
                may_have_run[code] = True
            elif step == "redeem" and may_have_run.get(code):
                codes.mark_redeemed(code, "r")
                open_refs[code] = (open_refs[code][0], ClaimResult.RESUME)
            elif step == "prove":
                codes.mark_never_ran(code)
                may_have_run[code] = False
        elif step == "settle" and code in open_refs:
            codes.release(code, open_refs.pop(code)[0])
