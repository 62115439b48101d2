#!/usr/bin/env python3
"""Writes the example jobs and online prompts beside this file.

The notes read as they are dictated in the field; all of them are made up here.
The same seed gives the same files.
"""

import json
import pathlib
import random

SEED = 20
FIELD_VISITS = 240
SHORE_TRANSECTS = 160
ONLINE_PROMPTS = 60

FIELD_TASK = (
    "You turn an agronomist's dictated visit note into a crop summary of at most three sentences "
    "and one remark for each parcel. Keep growth stages, counts and doses as they were said. "
    "Note: ")
SHORE_TASK = (
    "You turn a surveyor's dictated transect note into a site report entry with distances in "
    "metres, the change since the last pass and a hazard flag of none, watch or act. Note: ")

FARMS = ("Kuusiku", "Vana-Saka", "Jõgeva mõis", "Tamme", "Põllu", "Rannu", "Sootaga", "Alatskivi",
         "Laeva", "Kolga", "Uue-Antsla", "Hummuli")
CROPS = {
    "winter rye": ("tillering", "stem extension", "flag leaf out", "ear half emerged", "flowering",
                   "milk ripe"),
    "winter rapeseed": ("rosette", "stem elongation", "green bud", "yellow bud", "full flower",
                        "pod fill"),
    "spring barley": ("three leaves", "tillering", "stem extension", "awns visible", "dough"),
    "field peas": ("six nodes", "first flower", "flat pods", "pods filling"),
}
PRESSURES = {
    "winter rye": ("brown rust on {n} leaves in ten, mostly the third leaf down",
                   "no ergot seen yet in {n} ears I opened",
                   "mildew at the base, {n} percent of the leaf at the worst spot",
                   "a few lodged patches by the ditch, {n} metres across"),
    "winter rapeseed": ("pollen beetle, {n} on a plant on average over ten plants",
                        "stem weevil holes in {n} plants out of twenty-five",
                        "sclerotinia petals test came back {n} out of forty",
                        "cabbage aphid colonies only on the headland, {n} plants"),
    "spring barley": ("net blotch starting, {n} percent on leaf two",
                      "wild oats, {n} to the square metre near the gate",
                      "manganese stripes on the sandy hump, {n} paces long"),
    "field peas": ("pea weevil notches on {n} leaves in ten", "{n} aphids on a shoot",
                   "root rot in the wet corner, {n} plants pulled and brown"),
}
WEATHER = ("it rained {mm} millimetres overnight and the track is soft",
           "dry for {n} days now, the clay is cracking",
           "windy, I would not spray before the evening",
           "ground frost this morning, minus {n} at the sensor",
           "mist until ten, leaves still wet")
ADVICE = ("come back on {day} and count again before we decide",
          "half rate on the headland only, {dose} litres to the hectare",
          "leave it, the threshold is not reached",
          "split the nitrogen, {kg} kilos now and the rest after rain",
          "tell the farmer not to roll it this week",
          "mark parcel {parcel} for the drone on {day}")
DAYS = ("Monday", "Tuesday", "Wednesday", "Thursday", "Friday")

SITES = ("north jetty", "Wadi mouth", "coral garden steps", "hotel beach three", "container quay",
         "border groyne", "marine park slip", "old lighthouse point", "glass factory outfall")
FINDINGS = ("scarp at {d} metres from the pin, {h} centimetres high, fresh face",
            "berm gone between {d} and {e} metres, cobbles showing",
            "beach rock uncovered over {e} paces, was sand in the last pass",
            "sand built up {h} centimetres against the groyne on the updrift side",
            "undercut below the promenade slab, arm's length, {d} metres long",
            "no change I can measure, pin and nail both where they were",
            "fence post {n} is leaning seaward, footing bare for {h} centimetres",
            "gully from the storm drain, {h} centimetres deep where it meets the beach",
            "turbid plume from the outfall, {d} metres wide, drifting south")
SEA = ("tide falling, about {h} centimetres above datum", "long swell from the south, one metre",
       "calm, I can see the toe of the slope", "northerly chop, the staff reading is plus or minus "
       "{n}", "spring low at {hour} past, we have time for a second pass")
FOLLOW_UPS = ("second pass wanted before the water is back", "close the steps until an engineer "
              "has looked", "photo {n} and {m} show it", "levels to be tied to benchmark {n} again",
              "ask the harbour office when they last dredged", "nothing to flag")


def fill(rng, text):
    return text.format(n=rng.randint(2, 9), m=rng.randint(10, 40), mm=rng.randint(3, 28),
                       d=rng.randint(4, 45), e=rng.randint(46, 90), h=rng.randint(5, 95),
                       dose=round(rng.uniform(0.2, 1.5), 1), kg=rng.randrange(20, 80, 5),
                       parcel=rng.randint(1, 60), day=rng.choice(DAYS), hour=rng.randint(5, 50))


def spoken(parts):
    return ". ".join(part[0].upper() + part[1:] for part in parts) + "."


def field_note(rng):
    crop = rng.choice(sorted(CROPS))
    stage = rng.choice(CROPS[crop])
    parts = [f"{rng.choice(FARMS)}, parcel {rng.randint(1, 60)}, {crop}, {stage}"]
    parts += [fill(rng, each) for each in rng.sample(PRESSURES[crop], rng.randint(1, 3))]
    if rng.random() < 0.6:
        parts.append(f"plant stand {rng.randint(180, 420)} to the square metre, "
                     f"{rng.choice(('even', 'patchy', 'thin by the wood'))}")
    parts.append(fill(rng, rng.choice(WEATHER)))
    parts += [fill(rng, each) for each in rng.sample(ADVICE, rng.randint(1, 2))]
    return spoken(parts)


def shore_note(rng):
    parts = [f"Transect {rng.randint(1, 84)}, {rng.choice(SITES)}, bearing {rng.randrange(5, 360, 5)}",
             fill(rng, rng.choice(SEA))]
    parts += [fill(rng, each) for each in rng.sample(FINDINGS, rng.randint(2, 4))]
    parts.append(fill(rng, rng.choice(FOLLOW_UPS)))
    return spoken(parts)


def field_body(rng):
    return {"model": "note-llm", "prompt": FIELD_TASK + field_note(rng),
            "max_tokens": rng.randrange(32, 97, 8)}


def shore_body(rng):
    return {"model": "survey-lm", "prompt": SHORE_TASK + shore_note(rng),
            "max_tokens": rng.randrange(32, 97, 8)}


def write(name, lines):
    path = pathlib.Path(__file__).with_name(name)
    text = "".join(json.dumps(line, ensure_ascii=False) + "\n" for line in lines)
    path.write_text(text, encoding="utf-8")


def items(prefix, count, body, rng):
    return [{"custom_id": f"{prefix}-{i:04}", "url": "/v1/completions", "body": body(rng)}
            for i in range(count)]


def hazard_items(lines):
    """Each twentieth transect raises a hazard flag, which must not be raised twice."""
    return [{**line, "repeatable": False} if i % 20 == 0 else line
            for i, line in enumerate(lines)]


def main():
    rng = random.Random(SEED)
    write("field-visits.ndjson", items("visit", FIELD_VISITS, field_body, rng))
    write("shore-transects.ndjson", hazard_items(items("transect", SHORE_TRANSECTS, shore_body, rng)))
    write("online-prompts.ndjson",
          [(field_body if i % 3 else shore_body)(rng) for i in range(ONLINE_PROMPTS)])


if __name__ == "__main__":
    main()
