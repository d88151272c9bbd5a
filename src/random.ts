/** Random selections that are derived from the single random number of an event. */

/**
 * Picks up to `count` distinct items. Each pick consumes the leading bits of `rand`. The remaining bits are a
 * uniform random number again; the 53 bits of `rand` suffice for four picks from 4,096 items.
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
