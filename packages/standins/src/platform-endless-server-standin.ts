/**
Stand-in for a faulty server of the platform whose response has no end: it sends as fast as its client reads, until the
client closes the connection.
*/
import {Buffer} from 'node:buffer';
import net, {type Socket} from 'node:net';
import {listen} from '@currantcross/core/listen';

/** The part of the response that has no end; `garbage` is not HTTP, and `refusal` has an endless body. */
export type EndlessResponse = 'garbage' | 'reason' | 'header' | 'headers' | 'informational' | 'trailers' | 'chunkSize' | 'chunkExtension' | 'body' | 'event' | 'comments' | 'blankLines' | 'refusal' | FragmentedResponse;

/** An endless response in chunks of a few bytes: a body, one event, complete events without an id, or lines of comments. */
export type FragmentedResponse = 'bodyInBytes' | 'eventInBytes' | 'eventsInChunks' | 'commentsInChunks';

export type EndlessServerStandin = Readonly<{
	address: string;
	/** Returns the number of open connections on which a response is sent. */
	getOpenConnectionCount(): number;
	/** Returns the number of bytes that clients or the buffers of the operating system have taken. */
	getSentByteCount(): number;
	close(): void;
}>;

const blockBytes = 65_536;
const requestIdPattern = /^request-id: *(?<id>\S+)/imv;

/** Returns as many chunks with a text as fit into a block. */
function getChunks(text: string): string {
	const chunk = `${text.length.toString(16)}\r\n${text}\r\n`;
	return chunk.repeat(Math.floor(blockBytes / chunk.length));
}

/** Returns the start of the response, and the block that is repeated after it. */
function getResponse(kind: EndlessResponse, requestId: string): Readonly<{start: string; block: string}> {
	const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Stamp: stamp-endless\r\n`;
	const filler = 'x'.repeat(blockBytes);
	const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
	const eventChunks = `${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
	switch (kind) {
		case 'garbage': {
			return {start: '', block: filler};
		}

		case 'reason': {
			return {start: 'HTTP/1.1 200 ', block: filler};
		}

		case 'header': {
			return {start: `${head}X-Long: `, block: filler};
		}

		case 'headers': {
			return {start: head, block: 'X-More: x\r\n'.repeat(1000)};
		}

		case 'informational': {
			return {start: '', block: 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(1000)};
		}

		case 'trailers': {
			return {start: `${chunked}0\r\n`, block: 'X-More: x\r\n'.repeat(1000)};
		}

		case 'chunkSize': {
			return {start: chunked, block: '0'.repeat(blockBytes)};
		}

		case 'chunkExtension': {
			return {start: `${chunked}5;`, block: filler};
		}

		case 'body': {
			return {start: `${head}\r\n`, block: filler};
		}

		case 'event': {
			return {start: `${head}Content-Type: text/event-stream\r\n\r\ndata: `, block: filler};
		}

		case 'comments': {
			return {start: `${head}Content-Type: text/event-stream\r\n\r\n`, block: ':\n\n'.repeat(Math.ceil(blockBytes / 3))};
		}

		case 'blankLines': {
			return {start: `${head}Content-Type: text/event-stream\r\n\r\n`, block: '\n'.repeat(blockBytes)};
		}

		case 'bodyInBytes': {
			return {start: chunked, block: getChunks('x')};
		}

		case 'eventInBytes': {
			return {start: eventChunks, block: getChunks('x')};
		}

		case 'eventsInChunks': {
			return {start: eventChunks, block: getChunks('data:x\n\n')};
		}

		case 'commentsInChunks': {
			return {start: eventChunks, block: getChunks(':\n')};
		}

		case 'refusal': {
			return {start: `HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ${requestId}\r\nNot-Run: 1\r\n\r\n`, block: filler};
		}
	}
}

/** Starts a server that answers each connection with an endless response, once it has received the first bytes. */
export async function startEndlessServer(kind: EndlessResponse): Promise<EndlessServerStandin> {
	const sockets = new Set<Socket>();
	const sendingSockets = new Set<Socket>();
	let sentByteCount = 0;

	function writeEndlessly(socket: Socket, block: Uint8Array): void {
		while (!socket.destroyed && socket.write(block)) {
			sentByteCount += block.length;
		}

		socket.once('drain', () => {
			sentByteCount += block.length;
			// Other work of the process gets its turn between blocks.
			setImmediate(writeEndlessly, socket, block);
		});
	}

	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			// The client has closed the connection; `close` follows.
		});
		socket.once('close', () => {
			sockets.delete(socket);
			sendingSockets.delete(socket);
		});
		socket.once('data', (bytes: Uint8Array) => {
			sendingSockets.add(socket);
			const requestId = requestIdPattern.exec(Buffer.from(bytes).toString('latin1'))?.groups?.id ?? '';
			const {start, block} = getResponse(kind, requestId);
			socket.write(start);
			writeEndlessly(socket, Buffer.from(block));
		});
	});
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	return {
		address: `127.0.0.1:${port}`,
		getOpenConnectionCount: () => sendingSockets.size,
		getSentByteCount: () => sentByteCount,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
