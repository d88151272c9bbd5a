/** Formats text tables for terminals. */

export function formatTable(
    headings: readonly string[],
    rows: readonly (readonly string[])[],
): readonly string[] {
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => row[column]?.length ?? 0))
    );
    return [headings, ...rows].map(row =>
        row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
    );
}
