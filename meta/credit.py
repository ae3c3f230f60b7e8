#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Tells where the credit of a play went.

    meta/credit.py REPORT.json [LOG]

REPORT.json is what `fleetbench run SITE DAY --report REPORT.json` writes; LOG is the output of the same run with `--log all`.
Prints parts and prices, the worst kinds, zones and spans of time by what was lost, and, with the log, who was refused and why,
how long requests waited, how far the foreseen first events were from what others needed, and where prompts were moved.
"""
import collections
import json
import sys

MOST_LINES = 8
# The part of an objective after which a wait at a router counts as the cause of a late first event.
LONG_WAIT = 0.3


def share(part: int, whole: int) -> str:
    return f"{100 * part / whole:5.1f}%" if whole else "    -"


def print_rows(title: str, rows: list[dict]) -> None:
    print(f"\n{title:<24} asked    late refused  failed   worth")
    for row in sorted(rows, key=lambda entry: entry["worth"])[:MOST_LINES]:
        print(f"{row['name']:<24}{row['n']:>6}  {share(row['late'], row['n'])}  {share(row['refused'], row['n'])}"
              f"  {share(row['failed'], row['n'])}  {row['worth']:.3f}")


def print_report(report: dict) -> None:
    print(f"whole day {report['G']:.3f}; broken: {report['breaks'] or 'nothing'}; fault: {report['fault'] or 'none'}")
    for name, weight, value in report["parts"]:
        print(f"  {name:<24} {value:.3f} x {weight}, lost {weight * (1 - value):.3f}")
    for name, amount, price in sorted(report["prices"], key=lambda entry: -entry[2])[:MOST_LINES]:
        if price > 0:
            print(f"  {name:<44} {amount:>10.1f}  costs {price:.4f}")
    print_rows("kind", report["classes"])
    print_rows("failure domain", report["zones"])
    print_rows("from second", report["windows"])
    for node in report["nodes"]:
        print(f"\n{node['role']}: {node['cpu_mean']:.4f} cores on average, {node['cpu_peak']:.4f} at most, "
              f"{node['mem_peak_mb']:.1f} MB, {node['fds_peak']} descriptors, {node['starts']} starts")


def read_log(path: str) -> list[dict]:
    lines = []
    with open(path, encoding="utf-8", errors="replace") as log:
        for line in log:
            start = line.find('{"unix_ms"')
            if start < 0:
                continue
            try:
                lines.append(json.loads(line[start:].rstrip()))
            except ValueError:
                continue
    return lines


def standing(line: dict) -> str:
    if line["level"] <= line["share"]:
        return "within share"
    return "ahead" if line["level"] > line["even_level"] else "past share"


def print_first_events(lines: list[dict]) -> None:
    """Streams by objective and standing: how many began late, where they waited, and how far off the foreseen time was."""
    sent = {line["id"]: line for line in lines if line["event"] == "sent" and "share" in line}
    rows = collections.defaultdict(list)
    for line in lines:
        if line["event"] == "answered" and line["events"] > 0 and line["id"] in sent:
            rows[(line["objective_ms"], standing(sent[line["id"]]))].append((line, sent[line["id"]]))
    print("\nfirst events: objective and standing, streams, late, late after a long wait here, seen less foreseen in ms "
          "(first decile, median, ninth decile)")
    for (objective, name), pairs in sorted(rows.items()):
        late = [start for end, start in pairs if end["first_ms"] > objective]
        waited = sum(1 for start in late if start["waited_ms"] > LONG_WAIT * objective)
        off = sorted(end["first_ms"] - start["waited_ms"] - start["expected_ms"] for end, start in pairs)
        print(f"  {objective:>5} ms {name:<14}{len(pairs):>6}  {share(len(late), len(pairs))}  {waited:>4}  "
              f"{off[len(off) // 10]:>5} {off[len(off) // 2]:>5} {off[9 * len(off) // 10]:>5}")


def print_log(lines: list[dict]) -> None:
    refused: collections.Counter = collections.Counter()
    waited = collections.defaultdict(list)
    lost: collections.Counter = collections.Counter()
    for line in lines:
        # Refusals before a team is known have no share.
        if line["event"] == "refused" and "share" in line:
            refused[(standing(line), line["reason"])] += 1
        elif line["event"] == "sent" and "share" in line:
            waited[standing(line)].append(line["waited_ms"])
            lost[standing(line)] += line["lost"]
    print("\nrefused, by standing and reason (lines of the log; it is bounded)")
    for (name, reason), count in refused.most_common(MOST_LINES):
        print(f"  {count:>6}  {name}  {reason}")
    print("\nsent by standing: requests, wait in ms (median, most), tokens read though kept elsewhere")
    for name, waits in sorted(waited.items()):
        waits.sort()
        print(f"  {name:<14}{len(waits):>6}  {waits[len(waits) // 2]:>4} {waits[-1]:>6}  {lost[name]}")
    print_first_events(lines)


def main() -> None:
    if len(sys.argv) not in (2, 3):
        sys.exit(__doc__)
    with open(sys.argv[1], encoding="utf-8") as report:
        print_report(json.load(report))
    if len(sys.argv) == 3:
        print_log(read_log(sys.argv[2]))


if __name__ == "__main__":
    main()
