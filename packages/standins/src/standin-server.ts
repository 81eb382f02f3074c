/**
HTTP server setup shared by the stand-ins.
*/
import {
	sendJson, startHttpServer, type HttpRoute, type HttpServer,
} from '@currantcross/caller/http-server';

export type StandinServerSettings = Readonly<{
	host: string;
	port: number;
	maximumBodyBytes: number;
	routes: readonly HttpRoute[];
}>;

/** Starts a server that answers unknown paths with 404 and handler errors with 500. */
export async function startStandinServer(settings: StandinServerSettings): Promise<HttpServer> {
	return startHttpServer({
		...settings,
		handleUnknownRoute(_request, response) {
			sendJson(response, 404, {error: 'not found'});
		},
		handleError(_error, response) {
			sendJson(response, 500, {error: 'internal'});
		},
	});
}
