/**
 * The dependencies of each route: the services that its requests call, directly or through other services. Each node
 * detects dependencies in the calls that it forwards and sends them to the other nodes. So an entry node can take into
 * account the load of every service that a request needs, up to the last service of a chain of calls.
 */
export interface RouteDependencies {
    readonly route: string;
    readonly services: readonly string[];
}

/** Maximum number of routes to track. Routes are configured, so the limit only guards against misuse. */
const MAX_ROUTES = 5000;

export class RouteDependencyMap {
    private readonly servicesByRoute = new Map<string, string[]>();

    servicesOf(route: string): readonly string[] {
        return this.servicesByRoute.get(route) ?? NO_SERVICES;
    }

    /** Adds services to the dependencies of a route; returns whether any of them is new. */
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
