/**
Logs: one line of key=value pairs for each event. Never a key, a prompt or a body.
*/
import winston from 'winston';

/** The events that are logged. */
export type LogEventName
	= | 'started' | 'stopping' | 'stopped' | 'requestEnded' | 'attemptStarted' | 'attemptEnded' | 'streamBroken'
		| 'hostListFailed' | 'configurationInForce' | 'configurationRead' | 'probeFailed' | 'serverFailed' | 'orderSent' | 'internalError';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export type Logger = Readonly<{
	debug(event: LogEventName, fields?: LogFields): void;
	info(event: LogEventName, fields?: LogFields): void;
	warn(event: LogEventName, fields?: LogFields): void;
	error(event: LogEventName, fields?: LogFields): void;
}>;

const plainValuePattern = /^[^\s"'=\\]+$/v;

/** Returns a value as it stands in a line: bare where it is one plain word, else as a JSON string. */
export function formatLogValue(value: string | number | boolean): string {
	const text = String(value);
	return plainValuePattern.test(text) ? text : JSON.stringify(text);
}

/** Returns one line of key=value pairs; fields without a value are left out. */
export function formatLogLine(fields: LogFields): string {
	const pairs: string[] = [];
	for (const [key, value] of Object.entries(fields)) {
		if (value !== undefined) {
			pairs.push(`${key}=${formatLogValue(value)}`);
		}
	}

	return pairs.join(' ');
}

/** Creates a logger that writes to standard error. */
export function createLogger(level: string, common: LogFields): Logger {
	const logger = winston.createLogger({
		level,
		format: winston.format.printf(({message}) => String(message)),
		transports: [new winston.transports.Console({stderrLevels: ['error', 'warn', 'info', 'debug']})],
	});

	function write(lineLevel: 'debug' | 'info' | 'warn' | 'error', event: LogEventName, fields: LogFields = {}): void {
		if (logger.isLevelEnabled(lineLevel)) {
			logger.log(lineLevel, formatLogLine({
				time: new Date().toISOString(), level: lineLevel, event, ...common, ...fields,
			}));
		}
	}

	return {
		debug(event, fields) {
			write('debug', event, fields);
		},
		info(event, fields) {
			write('info', event, fields);
		},
		warn(event, fields) {
			write('warn', event, fields);
		},
		error(event, fields) {
			write('error', event, fields);
		},
	};
}
