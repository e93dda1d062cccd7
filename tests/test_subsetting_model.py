"""The rigs `subsetting_model` and `list_cost` at a small size, and that `subsetting_model` rejects uneven
subsets."""

from __future__ import annotations

from test_rigs import run_rig

SMALL = ("--engines", "30", "--engines", "400", "--fronts", "256")


def test_the_chosen_way_holds_beside_the_others():
    last = run_rig("subsetting_model", "--seed", "3", *SMALL)
    assert last["holds"], last["broken_rules"]
    by_algorithm = {name: sizes["400"] for name, sizes in last["ways"].items()}
    load = {name: found["load"]["load_max_over_mean"] for name, found in by_algorithm.items()}
    assert load["chosen"] < min(load["random"], load["rendezvous"], load["hash_ring"])
    touched = {name: found["one_engine"]["touched"] for name, found in by_algorithm.items()}
    assert touched["chosen"] < min(touched["random"], touched["deterministic"], touched["even_ring"])


def test_the_model_says_no_where_all_fronts_hold_the_same_engines():
    last = run_rig("subsetting_model", "--seed", "3", *SMALL, "--only", "--sabotage")
    assert not last["holds"]
    assert {"400: even", "400: every engine held"} <= set(last["broken_rules"])


def test_a_list_of_a_subset_costs_the_decisions_little():
    last = run_rig("list_cost", "--seed", "3", "--engines", "30", "--engines", "1000")
    assert last["holds"], last["broken_rules"]
    large = last["sizes"]["1000"]
    assert large["after"]["engines"] < 150
    assert large["after"]["first_ms"] < large["before"]["first_ms"] / 3
