/** Finds the route of a request and, if the route splits traffic, chooses the service that handles the request. */
import type { MeshConfig, Route } from "../mesh/types.ts";

/** Returns the first matching route of a host. The routes are sorted, so it has the longest matching path prefix. */
export function findRoute(config: MeshConfig, host: string, path: string): Route | undefined {
    const queryIndex = path.indexOf("?");
    const pathWithoutQuery = queryIndex < 0 ? path : path.slice(0, queryIndex);
    return config.routesByHost.get(host)?.find(route => pathWithoutQuery.startsWith(route.pathPrefix));
}

/**
 * Splits traffic by smooth weighted round robin. Each service gets its share even in a short sequence of requests,
 * while random choices would match the weights only over many requests.
 */
export class TrafficSplitter {
    private readonly currentWeights = new Map<string, Float64Array>();

    chooseService(route: Route): string {
        const { services } = route;
        if (services.length === 1) return services[0]!.service;
        const current = this.currentWeightsOf(route);
        let total = 0;
        let bestIndex = 0;
        for (let index = 0; index < services.length; index++) {
            const { weight } = services[index]!;
            total += weight;
            current[index]! += weight;
            if (current[index]! > current[bestIndex]!) bestIndex = index;
        }
        current[bestIndex]! -= total;
        return services[bestIndex]!.service;
    }

    /** Discards the state of all routes. Call when the configuration changes. */
    reset(): void {
        this.currentWeights.clear();
    }

    private currentWeightsOf(route: Route): Float64Array {
        let current = this.currentWeights.get(route.name);
        if (current === undefined || current.length !== route.services.length) {
            // Random initial weights: without them, every node would send its first requests to the same service.
            current = Float64Array.from(route.services, ({ weight }) => weight * (Math.random() - 0.5));
            this.currentWeights.set(route.name, current);
        }
        return current;
    }
}
