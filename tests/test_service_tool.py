"""tools/service.py must detect a failed day."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))

import service

OBJECTIVES = "  met    wait soon 6.0 s: 0.9 of 10 (at least 0.5)\n"


def write_log(path, *extra_lines, jobs=20, large_done=True, start_delay_s=5.0):
    """Writes the log of a day; the last two jobs are the largest."""
    lines = []
    for number in range(jobs):
        large = number >= jobs - 2
        prefix = f"{10 + number}.0 host-{number % 2} INFO node job=wk-{number:06d}"
        lines.append(f"  {prefix} state=accepted class=soon team=t tasks={10 if large else 1} cpus=8")
        started_at = 10 + number + (start_delay_s if large else 1.0)
        lines.append(f"  {started_at} host-0 INFO jobs job=wk-{number:06d} state=started cause=x")
        if large_done or not large:
            lines.append(f"  {300 + number}.0 host-0 INFO jobs job=wk-{number:06d} state=done cause=last task")
    path.write_text("\n".join([*lines, *extra_lines]) + "\n" + OBJECTIVES)
    return str(path)


def unanswered(controller, seconds):
    return f"  200.0 {controller} INFO controller job=wk-000003 state=unanswered cause=no answer here for {seconds} s"


def accepted(fields):
    return f"  200.0 host-0 INFO node job=wk-000099 state=accepted {fields}"


def cancelled(cancelled_at, started_at, cause="its first task runs"):
    job, started = "job=wk-000099 state=", f"started cause={cause}"
    return (
        f"  50.0 host-0 INFO node {job}accepted class=soon team=t tasks=1 cpus=1",
        f"  {cancelled_at} host-0 INFO jobs {job}aborted cause=withdrawn",
        f"  {started_at} host-1 INFO jobs {job}{started}",
    )


@pytest.mark.parametrize(
    "extra_lines, options, code, message",
    [
        ((), {}, 0, "largest of soon: 2 jobs of 80 CPUs or more, done 1.000"),
        ((), {"large_done": False}, 1, "done 0.000, begun after 5 s in the middle, 5 s at most, 0 too late FAILED"),
        ((), {"start_delay_s": 250.0}, 1, "2 too late FAILED"),
        (
            (unanswered("host-0", 80.0),),
            {},
            0,
            "1 jobs unanswered for a time at some controller, 80 s at most; 0 forgotten",
        ),
        ((unanswered("host-0", 80.0), unanswered("host-1", 76.0)), {}, 1, "1 forgotten FAILED"),
        ((accepted("class=soon team=t tasks=1 cpus=8"),), {}, 0, "21 accepted, 0 that can't run or lack a field\n"),
        (
            (accepted("class=soon team=t tasks=0 cpus=8"),),
            {},
            1,
            "1 that can't run or lack a field (wk-000099: 0 tasks)",
        ),
        ((accepted("class=soon team=t tasks=100001 cpus=8"),), {}, 1, "(wk-000099: 100001 tasks) FAILED"),
        ((accepted("class=soon team=t tasks=1 cpus=nan"),), {}, 1, "(wk-000099: nan CPUs) FAILED"),
        ((accepted("class=soon team= cpus=8"),), {}, 1, "(wk-000099: lacks team, tasks) FAILED"),
        (cancelled(60.0, 101.0), {}, 0, "1 jobs, 1 begun after that, 41.0 s at most, 0 beyond 42 s\n"),
        (cancelled(60.0, 103.0), {}, 1, "1 jobs, 1 begun after that, 43.0 s at most, 1 beyond 42 s FAILED"),
        (cancelled(60.0, 103.0, "a task of it runs already"), {}, 0, "1 jobs, 0 begun after that, 0.0 s at most"),
        (cancelled(60.0, 59.0), {}, 0, "1 jobs, 0 begun after that, 0.0 s at most, 0 beyond 42 s\n"),
    ],
)
def test_a_day_fails_by_its_largest_jobs_queries_submissions_or_cancellations(
    tmp_path, capsys, extra_lines, options, code, message
):
    calm = write_log(tmp_path / "calm.log")
    assert service.main([calm, write_log(tmp_path / "day.log", *extra_lines, **options)]) == code
    assert message in capsys.readouterr().out.split("\nday\n")[1]


def test_a_truncated_log_is_an_error(tmp_path, capsys):
    path = tmp_path / "short.log"
    path.write_text("  1.0 host-0 INFO x\n")
    assert service.main([str(path)]) == 2 and "to its end" in capsys.readouterr().err
