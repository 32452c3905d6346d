"""Calendars compared with a minute-by-minute reference, on days of clock changes and holidays; faults in files."""

import configparser
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from alderbridge.calendars import CalendarConfiguration, Timetable, Timetables, check_lines, parse
from alderbridge.calendars.model import Calendar, CalendarRule, day_number
from alderbridge.calendars.timetable import DAY, NEVER
from alderbridge.calendars.zones import load_zone
from alderbridge.protocol import wire
from alderbridge.settings import ConfigError

ZONES = ("Europe/Oslo", "Europe/London")
SPEC = wire.JobSpec(
    id="wk-1",
    job_class="rebook",
    team="desk",
    kind="sweep",
    priority="high",
    tasks=1,
    cpus=1.0,
    memory_gb=1.0,
    image="p",
    image_gb=0.0,
    estimate_s=600.0,
)


def parse_text(text: str) -> CalendarConfiguration:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return parse(parser, "hours.ini")


def timetable_of(hours: str, job_class: str = "", name: str = "c") -> Timetable:
    return Timetable(parse_text(f"{hours}\n[class desk/*]\ncalendar = {name}\n{job_class}"))


def timestamp(*to_local_time: int, zone: str = "Europe/Oslo", fold: int = 0) -> float:
    return datetime(*to_local_time, tzinfo=ZoneInfo(zone), fold=fold).timestamp()


def may_start(timetable, wall: float, skew_s: float = 0.0, spec=SPEC) -> bool:
    return timetable.eligibility(spec, wall, skew_s).may_start


def slow(calendar: Calendar, others: dict[str, Calendar], wall: float) -> bool:
    if calendar.of:
        return (all if calendar.of == "all" else any)(slow(others[part], others, wall) for part in calendar.parts)
    local = datetime.fromtimestamp(wall, ZoneInfo(calendar.zone))
    minute = local.hour * 60 + local.minute
    for ago in (0, 1):
        day = local.date() - timedelta(ago)
        spans = calendar.week[day.weekday()]
        if day_number(day) in calendar.holidays:
            spans = calendar.on_holidays
        spans = dict(calendar.dates).get(day_number(day), spans)
        if any(begin <= minute + 1440 * ago < end for begin, end in spans):
            return True
    return False


spans = st.one_of(
    st.just([]),
    st.just([(0, 1440)]),
    st.lists(
        st.tuples(st.integers(0, 95), st.integers(1, 95)).map(lambda p: (p[0] * 15, p[0] * 15 + p[1] * 15)), max_size=2
    ),
)
first_day = date(2025, 1, 1)
edge_days = [
    date(2026, 3, 28),
    date(2026, 10, 24),
    date(2028, 2, 28),
    date(2028, 12, 31),
    date(2030, 3, 30),
    date(2034, 10, 28),
]
days = st.one_of(st.sampled_from(edge_days), st.integers(0, 3650).map(lambda n: first_day + timedelta(n)))


@st.composite
def configurations(draw):
    day = draw(days)
    nearby_days = [day_number(day) + n for n in range(4)]

    def calendar(name):
        return Calendar(
            name,
            draw(st.sampled_from(ZONES)),
            draw(st.lists(spans, min_size=7, max_size=7)),
            [(one, draw(spans)) for one in draw(st.sets(st.sampled_from(nearby_days), max_size=2))],
            sorted(draw(st.sets(st.sampled_from(nearby_days), max_size=2))),
            draw(spans),
        )

    calendars = [
        calendar("a"),
        calendar("b"),
        Calendar("c", of=draw(st.sampled_from(["all", "any"])), parts=["a", "b"]),
    ]
    rule = CalendarRule(
        "desk",
        "*",
        draw(st.sampled_from("abc")),
        draw(st.booleans()),
        draw(st.sampled_from([0.1, 1.0, 6.0])),
        draw(st.booleans()),
    )
    return day, CalendarConfiguration(calendars, [rule]), draw(st.sampled_from([0, 60, 180]))


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(configurations())
def test_a_check_says_what_the_clock_on_the_wall_says_minute_by_minute(drawn):
    day, text, skew = drawn
    rule, others = text.classes[0], {one.name: one for one in text.calendars}
    begin = int(datetime(day.year, day.month, day.day, tzinfo=UTC).timestamp())
    minutes = [slow(others[rule.calendar], others, begin + 60 * n) for n in range(-60, 3 * 1440 + 200)]
    tail = int(rule.run_factor * 10) if rule.ends else 0  # minutes; the task runs for 600 s and does not save progress
    shuts = [0] * len(minutes)  # index of the minute at which it closes next
    for n in range(len(minutes) - 1, -1, -1):
        shuts[n] = (shuts[n + 1] if n + 1 < len(minutes) else len(minutes)) if minutes[n] else n
    timetable = Timetable(text)

    def starts(n: int) -> bool:
        return shuts[n + 60 - skew // 60] > n + 60 + skew // 60 + tail

    following = None
    for n in range(3 * 1440, -1, -1):
        wall = begin + 60.0 * n
        expected = starts(n)
        following = n if expected else following
        if n % 7 and not (n and expected != starts(n - 1)):
            continue
        eligibility = timetable.eligibility(SPEC, wall, float(skew))
        assert eligibility.may_start == expected, (wall, eligibility)
        if following is not None:
            assert expected or eligibility.opens_at == begin + 60.0 * following
        else:
            assert eligibility.opens_at > begin + 60 * 3 * 1440
        if expected:
            assert eligibility.opened_at <= wall and eligibility.closes_at >= wall + 60 * tail
    fresh = Timetable(text)
    for n in range(0, 3 * 1440, 191):  # cached answers equal those of a new timetable
        wall = begin + 60.0 * n
        assert timetable.eligibility(SPEC, wall, float(skew)) == fresh.eligibility(SPEC, wall, float(skew))


def test_repeated_hour_in_autumn_and_skipped_hour_in_spring():
    timetable = timetable_of("[calendar c]\nzone = Europe/Oslo\nsun = 02:15-02:45")
    assert [may_start(timetable, timestamp(2026, 10, 25, 2, 30, fold=fold)) for fold in (0, 1)] == [True, True]
    between = timestamp(2026, 10, 25, 2, 50)
    assert not may_start(timetable, between) and timetable.eligibility(SPEC, between, 0.0).opens_at == timestamp(
        2026, 10, 25, 2, 15, fold=1
    )
    spring = timestamp(2026, 3, 28, 12, 0)
    expected = timestamp(2026, 4, 5, 2, 15)  # 02:15 is skipped on 29 March
    assert timetable.eligibility(SPEC, spring, 0.0).opens_at == expected
    night = timetable_of("[calendar c]\nzone = Europe/Oslo\nsat = 22:00-06:00")
    assert night.periods("c", timestamp(2026, 10, 24, 12), 1)[0] == (
        timestamp(2026, 10, 24, 22),
        timestamp(2026, 10, 25, 6),
    )
    assert timestamp(2026, 10, 25, 6) - timestamp(2026, 10, 24, 22) == 9 * 3600


def test_a_shift_belongs_to_the_day_on_which_it_begins():
    hours = "[calendar c]\nzone = Europe/Oslo\nmon-sun = 22:00-06:00\n2026-12-25 = closed\n2026-12-26 = 23:00-02:00"
    timetable = timetable_of(hours)
    assert may_start(timetable, timestamp(2026, 12, 25, 5, 59))  # shift of the 24th
    assert not may_start(timetable, timestamp(2026, 12, 25, 23, 0)) and not may_start(
        timetable, timestamp(2026, 12, 26, 1, 0)
    )
    assert not may_start(timetable, timestamp(2026, 12, 26, 22, 30)) and may_start(
        timetable, timestamp(2026, 12, 27, 1, 59)
    )
    assert not may_start(timetable, timestamp(2026, 12, 27, 2, 0))


def test_leap_day_easter_and_a_holiday_in_one_country_only():
    hours = (
        "[calendar c]\nzone = Europe/Oslo\nmon-sun = 08:00-16:00\nholidays = NO\nholiday years = 2026-2030\n"
        "2028-02-29 = 10:00-11:00\n[calendar d]\nzone = Europe/London\nmon-sun = all day\nholidays = GB-ENG\n"
        "holiday years = 2026-2030\n[calendar both]\nall of = c, d"
    )
    timetable, both = timetable_of(hours), timetable_of(hours, name="both")
    assert not may_start(timetable, timestamp(2028, 2, 29, 9, 0)) and may_start(
        timetable, timestamp(2028, 2, 29, 10, 0)
    )
    assert may_start(timetable, timestamp(2028, 3, 1, 9, 0))
    for easter_monday in ((2026, 4, 6), (2027, 3, 29), (2030, 4, 22)):
        assert not may_start(timetable, timestamp(*easter_monday, 9, 0)) and not may_start(
            both, timestamp(*easter_monday, 9, 0)
        )
    assert not may_start(timetable, timestamp(2026, 5, 14, 9, 0))  # Ascension Day is a holiday in Norway only
    assert may_start(timetable_of(hours, name="d"), timestamp(2026, 5, 14, 9, 0)) and not may_start(
        both, timestamp(2026, 5, 14, 9, 0)
    )
    # Summer bank holiday in England only.
    assert may_start(timetable, timestamp(2026, 8, 31, 9, 0)) and not may_start(both, timestamp(2026, 8, 31, 9, 0))


def test_new_exception_applies_at_once_and_together_with_the_older_revision():
    wall = timestamp(2026, 6, 1, 9, 0)
    older = timetable_of("[calendar c]\nzone = Europe/Oslo\nmon = 08:00-16:00").configuration
    newer = timetable_of("[calendar c]\nzone = Europe/Oslo\nmon = 08:00-16:00\n2026-06-01 = 11:00-18:00").configuration
    assert may_start(Timetable(older), wall) and not may_start(Timetable(newer), wall)
    eligibility = Timetables([older, newer]).eligibility(SPEC, wall, 0.0)
    assert not eligibility.may_start and eligibility.opens_at == timestamp(2026, 6, 1, 11, 0)
    late = timestamp(2026, 6, 1, 17, 0)
    assert may_start(Timetables([newer]), late) and not may_start(Timetables([older, newer]), late)
    assert Timetables([older, newer]).eligibility(SPEC, late, 0.0).opens_at == timestamp(2026, 6, 8, 8, 0)
    # An empty configuration withdraws the calendars.
    assert Timetables([CalendarConfiguration()]).eligibility(SPEC, wall, 0.0).may_start


def test_task_that_cannot_end_before_closing_never_starts():
    hours = "[calendar c]\nzone = Europe/Oslo\nmon = 08:00-09:00\ntue = 08:00-12:00\n[calendar e]\nzone = UTC\n"
    hours += "2031-01-01 = 08:00-12:00"
    rule = "end before closing = yes\nrun factor = 2"
    monday = timestamp(2026, 6, 1, 8, 0)
    timetable = timetable_of(hours, rule)
    # Twice the estimate of 10 minutes.
    assert may_start(timetable, monday + 39 * 60) and not may_start(timetable, monday + 40 * 60)
    long = msgspec.structs.replace(SPEC, estimate_s=3600.0)
    assert timetable.eligibility(long, monday, 0.0).opens_at == timestamp(2026, 6, 2, 8, 0)
    too_long = msgspec.structs.replace(SPEC, estimate_s=7201.0)
    assert timetable.eligibility(too_long, monday, 0.0)[:2] == (False, NEVER)
    assert timetable_of(hours, name="e").eligibility(SPEC, monday, 0.0).opens_at == NEVER


def test_clock_skew_stop_time_and_warm_up():
    timetable = timetable_of("[calendar c]\nzone = UTC\nmon = 08:00-09:00", "at closing = stop\nwarm up = 120")
    eight, spec = datetime(2026, 6, 1, 8, tzinfo=UTC).timestamp(), msgspec.structs.replace(SPEC, save_s=10.0)
    eligibility = timetable.eligibility(spec, eight - 125.0, 2.0)
    assert not eligibility.warm and eligibility.opens_at == eight + 2.0 and eligibility.stop_at < eight
    assert timetable.eligibility(spec, eight - 118.0, 2.0).warm and not may_start(timetable, eight + 1.9, 2.0)
    assert (
        may_start(timetable, eight + 2.0, 2.0)
        and timetable.eligibility(spec, eight + 9.0, 2.0).stop_at == eight + 3588.0
    )
    assert may_start(timetable, eight + 3557.0, 2.0, spec) and not may_start(timetable, eight + 3558.0, 2.0, spec)
    service = msgspec.structs.replace(SPEC, kind="standing", estimate_s=0.0)
    ends = timetable_of("[calendar c]\nzone = UTC\nmon = 08:00-09:00", "end before closing = yes")
    # A service has no expected end, so it is stopped.
    assert ends.eligibility(service, eight, 0.0).stop_at == eight + 3600.0
    assert ends.eligibility(SPEC, eight, 0.0).stop_at == NEVER


def test_calendar_with_an_unknown_zone_is_closed():
    text = CalendarConfiguration([Calendar("c", "Europe/Atlantis", [[(0, 1440)]] * 7)], [CalendarRule("*", "*", "c")])
    assert Timetable(text).eligibility(SPEC, 0.0, 0.0)[:2] == (False, NEVER)


def test_zones_are_those_of_the_pinned_package():
    for name in ZONES:
        for year in range(2025, 2036):
            for month in range(1, 13):
                when = datetime(year, month, 28, 1, 30, tzinfo=UTC)
                assert when.astimezone(load_zone(name)).utcoffset() == when.astimezone(ZoneInfo(name)).utcoffset()
    assert load_zone("../Europe/Oslo") is None and load_zone("Europe") is None


FAULTS = {
    "[calendar c]\nzone = Europe/Atlantis\nmon = 08:00-09:00": "[calendar c] zone: expected a time zone",
    "[calendar c]\nmon = 08:00-09:00": "[calendar c] zone: expected a time zone such as Europe/Oslo, or 'all of'",
    "[calendar c]\nzone = UTC\nmon = 08:00-08:00": "[calendar c] mon: '08:00-08:00' is empty",
    "[calendar c]\nzone = UTC\nmon = 08:00-12:00, 11:00-13:00": "[calendar c] mon: expected hours that do not overlap",
    "[calendar c]\nzone = UTC\nmon = 22:00-06:00\ntue = 05:00-07:00": "[calendar c] tue: overlaps the shift",
    "[calendar c]\nzone = UTC\nmon = 08:00-25:00": "[calendar c] mon: expected hours of a day",
    "[calendar c]\nzone = UTC\nmon = eight": "[calendar c] mon: expected closed, all day, or hours",
    "[calendar c]\nzone = UTC\nmon-fri = all day\nwed = closed": "[calendar c] wed: wed is given twice",
    "[calendar c]\nzone = UTC\n2027-02-29 = all day": "[calendar c] 2027-02-29: expected a date that exists",
    "[calendar c]\nzone = UTC\nmonday = all day": "[calendar c] monday: expected zone, holidays",
    "[calendar c]\nzone = UTC\nmon = closed": "[calendar c]: expected hours on some day",
    "[calendar c]\nzone = UTC\nmon = all day\nholidays = XX": "[calendar c] holidays: expected countries or regions",
    "[calendar c]\nzone = UTC\nmon = all day\nholidays = GB-XYZ": "'GB-XYZ' is not known",
    "[calendar c]\nzone = UTC\nmon = all day\nholidays = NO": "[calendar c] holiday years: expected the years",
    "[calendar c]\nall of = d": "[calendar c] all of: no calendar 'd' in this file",
    "[calendar c]\nall of = d\n[calendar d]\nany of = e\n[calendar e]\nall of = c": "depends on itself: c > d > e > c",
    "[class a/b]\ncalendar = gone": "[class a/b] calendar: no calendar 'gone' in this file",
    "[class a/b]\nwarm up = 1": "[class a/b] calendar: expected the name of a calendar",
    "[calendar c]\nzone = UTC\nmon = all day\n[class */b]\ncalendar = c\n[class a/b]\ncalendar = c": "never matches",
    "[calendar c]\nzone = UTC\nmon = all day\n[class a/b]\ncalendar = c\nat closing = halt": "expected stop or run on",
    "[calendar c]\nzone = UTC\nmon = all day\n[class a/b]\ncalendar = c\nrun factor = 0": "expected a number from 0.1",
    "[calender c]\nzone = UTC": "[calender c]: expected [declaration], [calendar NAME] or [class OWNER/WORKLOAD]",
}


@pytest.mark.parametrize("text", FAULTS)
def test_a_fault_is_one_line_that_names_file_section_and_key(text):
    with pytest.raises(ConfigError) as error:
        parse_text(text)
    lines = str(error.value).split("\n")
    assert len([line for line in lines if FAULTS[text] in line]) == 1
    assert all(line.startswith("hours.ini: [") for line in lines)


def test_check_shows_the_next_openings():
    text = parse_text(
        "[calendar c]\nzone = Europe/Oslo\nmon-fri = 08:00-16:00\n[class desk/*]\ncalendar = c\n"
        "end before closing = yes"
    )
    lines = check_lines(text, timestamp(2026, 10, 23, 17, 0))
    assert lines[0].startswith("calendar c: open Mon 2026-10-26 08:00 to Mon 2026-10-26 16:00, Tue 2026-10-27 08:00")
    assert lines[1].startswith("class desk/*: calendar c, at closing runs on, started only if 1.4 times")


def test_eligibility_is_cached_and_a_compiled_revision_is_small():
    text = parse_text(
        "[calendar c]\nzone = Europe/Oslo\nmon-fri = 08:00-16:00\nholidays = NO, GB-ENG\n"
        "holiday years = 2026-2030\n[class desk/*]\ncalendar = c\nend before closing = yes"
    )
    raw = msgspec.json.encode(text)
    assert len(raw) < 900 and msgspec.json.decode(raw, type=CalendarConfiguration) == text
    timetable = Timetable(text)
    computations = []
    compute, timetable._compute = timetable._compute, lambda *args: computations.append(args) or compute(*args)
    for second in range(DAY):
        timetable.eligibility(SPEC, timestamp(2026, 6, 1, 0, 0) + second, 1.0)
    assert len(computations) <= 6
