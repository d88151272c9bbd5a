/**
 * Services that a route depends on because handling its requests leads to calls to them, directly or through others.
 * Each node learns them from the calls that it forwards and shares them with the other nodes, so that an entry node
 * can judge by the load of the last service of a chain of calls whether a request would be served.
 */
export interface RouteDependencies {
    readonly route: string;
    readonly services: readonly string[];
}

/** Most routes to track. Routes come from the configuration, so the limit only guards against misuse. */
const MAX_ROUTES = 5000;

export class RouteDependencyMap {
    private readonly servicesByRoute = new Map<string, string[]>();

    servicesOf(route: string): readonly string[] {
        return this.servicesByRoute.get(route) ?? NO_SERVICES;
    }

    /** Adds services to those of a route; returns whether any was added. */
    add(route: string, services: readonly string[]): boolean {
        const existing = this.servicesByRoute.get(route);
        if (existing === undefined) {
            if (services.length === 0 || this.servicesByRoute.size >= MAX_ROUTES) return false;
            this.servicesByRoute.set(route, [...new Set(services)]);
            return true;
        }
        let hasChanged = false;
        for (const service of services) {
            if (existing.includes(service)) continue;
            existing.push(service);
            hasChanged = true;
        }
        return hasChanged;
    }

    all(): readonly RouteDependencies[] {
        return [...this.servicesByRoute].map(([route, services]) => ({ route, services }));
    }
}

const NO_SERVICES: readonly string[] = [];
