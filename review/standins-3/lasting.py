"""Times in which a task that lasts does not run."""


def longest_outage(runs, task, until):
    """Longest time from the end of a run of `task` to its next start, or to `until`, and when it began."""
    entries = sorted((entry for entry in runs if entry[0] == task), key=lambda entry: entry[3])
    longest = (0.0, 0.0)
    for number, entry in enumerate(entries):
        if entry[4] is None:
            continue
        next_start = entries[number + 1][3] if number + 1 < len(entries) else until
        longest = max(longest, (next_start - entry[4], entry[4]))
    return longest
