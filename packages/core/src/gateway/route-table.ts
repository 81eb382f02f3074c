/**
Selection of a route by host and longest path prefix, and of a service by weight.
*/
import type {ServedRoute, ServingConfiguration} from './gateway-types.js';

export type RouteTable = Readonly<{
	/** Returns the route of the host with the longest prefix that matches the path. */
	findRoute(host: string, path: string): ServedRoute | undefined;
}>;

function getRouteKey(host: string, prefix: string): string {
	return `${host} ${prefix}`;
}

/** Returns the host without its port, in lower case. */
export function getHostName(host: string): string {
	return host.replace(/:\d*$/v, '').toLowerCase();
}

/** Creates the route table of a configuration. */
export function createRouteTable(configuration: ServingConfiguration): RouteTable {
	const routes = new Map(configuration.routes.map(route => [getRouteKey(route.host, route.prefix), route]));
	return {
		findRoute(host, path) {
			const name = getHostName(host);
			for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
				const route = routes.get(getRouteKey(name, path.slice(0, end + 1)));
				if (route !== undefined) {
					return route;
				}
			}

			return undefined;
		},
	};
}

/** Returns the service that a fraction in [0, 1) selects by weight. */
export function getWeightedService(route: ServedRoute, fraction: number): string {
	const totalWeight = route.services.reduce((sum, {weight}) => sum + weight, 0);
	let remainingWeight = fraction * totalWeight;
	for (const {service, weight} of route.services) {
		remainingWeight -= weight;
		if (remainingWeight < 0) {
			return service;
		}
	}

	return route.services.at(-1)?.service ?? '';
}
