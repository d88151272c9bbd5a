/**
 * Which services the requests of a route reach, directly or through the calls that their runs make. Each node learns
 * this from the calls that pass it and tells the others, so that the entry can tell by the load of the last service of
 * a chain whether a request would be served.
 */
export interface RouteDependencies {
    readonly route: string;
    readonly services: readonly string[];
}

/** Routes remembered at most; routes come from the configuration, so this is a bound against misuse. */
const MAX_ROUTES = 5000;

export class RouteDependencyMap {
    private readonly servicesByRoute = new Map<string, string[]>();

    servicesOf(route: string): readonly string[] {
        return this.servicesByRoute.get(route) ?? NO_SERVICES;
    }

    /** Adds services to those of a route; returns whether any was new. */
    add(route: string, services: readonly string[]): boolean {
        const existing = this.servicesByRoute.get(route);
        if (existing === undefined) {
            if (services.length === 0 || this.servicesByRoute.size >= MAX_ROUTES) return false;
            this.servicesByRoute.set(route, [...new Set(services)]);
            return true;
        }
        let isNew = false;
        for (const service of services) {
            if (existing.includes(service)) continue;
            existing.push(service);
            isNew = true;
        }
        return isNew;
    }

    all(): readonly RouteDependencies[] {
        return [...this.servicesByRoute].map(([route, services]) => ({ route, services }));
    }
}

const NO_SERVICES: readonly string[] = [];
