/** Several draws from the one random number of an event. */

/**
 * Picks up to `count` different items. Each pick uses up the leading bits of the number and leaves the rest,
 * which is uniform again; 53 bits suffice for four picks of 4,096.
 */
export function sampleDistinct<T>(items: readonly T[], count: number, rand: number): readonly T[] {
    const remaining = [...items];
    const picked: T[] = [];
    let fraction = rand;
    while (picked.length < count && remaining.length > 0) {
        const scaled = fraction * remaining.length;
        const index = Math.floor(scaled);
        fraction = scaled - index;
        picked.push(...remaining.splice(index, 1));
    }
    return picked;
}

export function pickOne<T>(items: readonly T[], rand: number): T | undefined {
    return items[Math.floor(rand * items.length)];
}
