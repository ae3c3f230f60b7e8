#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Compares variants of the policy over days and seeds of the users' bench.

    meta/experiment.py --bench FLEETBENCH --work DIR --why TEXT [--days A,B] [--seeds 1,2] [--jobs N] [--no-cpu]
                       [--json FILE] [--plot FILE.png] SITE.toml... -- NAME[=--flag=value,--flag=value] ...

Each variant is a set of the daemon's own settings (`shedhilld --help`, those of the platform); the first one is what the
others are compared with. DIR is a scratch copy of the tracked and new files of this tree, made anew at each call but for what
was built there; its figures are trials. Its journal entries are copied into this tree's journal.

Prints, for each site and variant, the worth over all days and seeds (min, median, max), the mean difference to the first
variant on the same day and seed with its spread, and the mean of each part and of the dearest prices. --plot needs
matplotlib (Debian: python3-matplotlib).
"""
import argparse
import collections
import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
import tempfile

MOST_PRICES = 4
MOST_OF_A_FINDING = 1500
TROUBLE_DAYS = "scale-1,scale-2,trouble-1,trouble-2,trouble-3"

Play = collections.namedtuple("Play", "site variant day seed")


def copy_tree(work: pathlib.Path) -> None:
    """Brings the scratch copy up to date; files that did not change keep their times, so that little is built anew."""
    work.mkdir(parents=True, exist_ok=True)
    names = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"], check=True, capture_output=True, text=True)
    wanted = {name for name in names.stdout.splitlines() if not name.startswith("journal/") and pathlib.Path(name).exists()}
    for name in wanted:
        source, target = pathlib.Path(name), work / name
        if target.exists() and target.read_bytes() == source.read_bytes():
            continue
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(source, target)
    (work / "journal").mkdir(exist_ok=True)
    if not (work / ".git").exists():
        subprocess.run(["git", "init", "-q"], cwd=work, check=True)


def use_variant(work: pathlib.Path, flags: list[str]) -> None:
    """Writes the variant's settings into the copy's deploy file."""
    deploy = pathlib.Path("deploy/system.toml").read_text(encoding="utf-8")
    changed = re.sub(r'^(run = "[^"]*)"', lambda found: " ".join([found.group(1), *flags]) + '"', deploy, flags=re.M)
    (work / "deploy/system.toml").write_text(changed, encoding="utf-8")


def run_day(bench: str, work: pathlib.Path, play: Play, why: str, options: list[str]) -> dict | None:
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", play.site, play.day, "--seed", str(play.seed), "--report", report.name, "--why",
                   f"{why}; variant {play.variant}", *options]
        done = subprocess.run(command, cwd=work, capture_output=True, text=True, check=False)
        text = pathlib.Path(report.name).read_text(encoding="utf-8")
        if not text:
            print(f"no report of {play}: {done.stdout[-300:]}{done.stderr[-300:]}", file=sys.stderr)
            return None
        return json.loads(text)


def prices_of(report: dict) -> dict[str, float]:
    return {name: price for name, _, price in report["prices"]}


def parts_of(report: dict) -> dict[str, float]:
    return {name: value for name, _, value in report["parts"]}


def mean_of(reports: list[dict], values) -> dict[str, float]:
    sums: collections.Counter = collections.Counter()
    for report in reports:
        for name, value in values(report).items():
            sums[name] += value / len(reports)
    return dict(sums)


def print_site(site: str, variants: list[str], results: dict[Play, dict]) -> None:
    print(f"\n### {pathlib.Path(site).stem}\n")
    print("| variant | plays | worth: min, median, max | mean | against the first: mean, spread | broken |")
    print("|---|---|---|---|---|---|")
    of_variant = {name: {(play.day, play.seed): report for play, report in results.items()
                         if play.site == site and play.variant == name} for name in variants}
    first = of_variant[variants[0]]
    for name in variants:
        reports = of_variant[name]
        if not reports:
            continue
        worths = [report["G"] for report in reports.values()]
        differences = [report["G"] - first[key]["G"] for key, report in reports.items() if key in first]
        spread = statistics.stdev(differences) if len(differences) > 1 else 0
        broken = [f"{day} {seed}: {', '.join(report['breaks'])}" for (day, seed), report in reports.items()
                  if report["breaks"] or report["fault"]]
        print(f"| {name} | {len(worths)} | {min(worths):.3f}, {statistics.median(worths):.3f}, {max(worths):.3f} | "
              f"{statistics.mean(worths):.3f} | {statistics.mean(differences) if differences else 0:+.3f}, {spread:.3f} | "
              f"{'; '.join(broken) or 'none'} |")
    days = sorted({day for day, _ in first})
    print("\n| variant | " + " | ".join(days) + " | " + " | ".join(parts_of(next(iter(first.values())))) + " | prices |")
    print("|---" * (len(days) + len(parts_of(next(iter(first.values())))) + 2) + "|")
    for name in variants:
        reports = of_variant[name]
        if not reports:
            continue
        by_day = [statistics.mean(report["G"] for (played, _), report in reports.items() if played == day)
                  for day in days if any(played == day for played, _ in reports)]
        parts = mean_of(list(reports.values()), parts_of)
        prices = mean_of(list(reports.values()), prices_of)
        dearest = sorted(prices.items(), key=lambda entry: -entry[1])[:MOST_PRICES]
        print(f"| {name} | " + " | ".join(f"{worth:.3f}" for worth in by_day) + " | "
              + " | ".join(f"{value:.3f}" for value in parts.values()) + f" | {sum(prices.values()):.3f}: "
              + ", ".join(f"{text[:34]} {price:.3f}" for text, price in dearest) + " |")


def print_broken(results: dict[Play, dict]) -> None:
    """What the bench saw where a rule was broken: findings, to be traced or listed as open."""
    for play, report in results.items():
        if report["breaks"] or report["fault"]:
            print(f"\nbroken: {pathlib.Path(play.site).stem} {play.day} --seed {play.seed}, {play.variant}: "
                  f"{json.dumps(report['first'])[:MOST_OF_A_FINDING]} {report['fault'] or ''}")


def plot(path: str, sites: list[str], variants: list[str], results: dict[Play, dict]) -> None:
    import matplotlib  # pylint: disable=import-outside-toplevel
    matplotlib.use("Agg")
    from matplotlib import pyplot  # pylint: disable=import-outside-toplevel
    figure, axes = pyplot.subplots(1, len(sites), figsize=(5 * len(sites), 4), squeeze=False)
    for axis, site in zip(axes[0], sites):
        worths = [[report["G"] for play, report in results.items() if play.site == site and play.variant == name]
                  for name in variants]
        axis.boxplot(worths, labels=variants)
        axis.set_title(pathlib.Path(site).stem)
        axis.set_ylabel("worth of a day")
        axis.tick_params(axis="x", rotation=60)
    figure.tight_layout()
    figure.savefig(path)


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--work", required=True, type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", default=TROUBLE_DAYS)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--json")
    parser.add_argument("--plot")
    parser.add_argument("sites", nargs="+")
    split = sys.argv.index("--") if "--" in sys.argv else len(sys.argv)
    arguments = parser.parse_args(sys.argv[1:split])
    named = sys.argv[split + 1:] or ["as it is"]
    arguments.variants = {name: [flag for flag in flags.split(",") if flag]
                          for name, _, flags in (text.partition("=") for text in named)}
    return arguments


def main() -> None:
    arguments = parse_arguments()
    copy_tree(arguments.work)
    options = ["--no-cpu"] if arguments.no_cpu else []
    results: dict[Play, dict] = {}
    for name, flags in arguments.variants.items():
        use_variant(arguments.work, flags)
        built = subprocess.run([arguments.bench, "build"], cwd=arguments.work, capture_output=True, text=True, check=False)
        if built.returncode != 0:
            sys.exit(f"the build failed:\n{built.stdout[-2000:]}{built.stderr[-2000:]}")
        plays = [Play(site, name, day, seed) for site in arguments.sites for day in arguments.days.split(",")
                 for seed in arguments.seeds.split(",")]
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            reports = pool.map(lambda play: run_day(arguments.bench, arguments.work, play, arguments.why, options), plays)
            results.update((play, report) for play, report in zip(plays, reports) if report is not None)
    shutil.copytree(arguments.work / "journal", "journal", dirs_exist_ok=True)
    for site in arguments.sites:
        print_site(site, list(arguments.variants), results)
    print_broken(results)
    if arguments.json:
        rows = [{**play._asdict(), "worth": report["G"], "parts": parts_of(report), "prices": prices_of(report),
                 "breaks": list(report["breaks"])} for play, report in results.items()]
        pathlib.Path(arguments.json).write_text(json.dumps(rows, indent=1), encoding="utf-8")
    if arguments.plot:
        plot(arguments.plot, arguments.sites, list(arguments.variants), results)


if __name__ == "__main__":
    main()
