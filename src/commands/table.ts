/** Text tables for terminals. */

export function formatTable(
    heads: readonly string[],
    rows: readonly (readonly string[])[],
): readonly string[] {
    const widths = heads.map((head, column) =>
        Math.max(head.length, ...rows.map(row => row[column]?.length ?? 0))
    );
    return [heads, ...rows].map(row =>
        row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
    );
}
