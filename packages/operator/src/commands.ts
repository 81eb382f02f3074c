/**
Command-line commands for operators: tickets, routes, servers and the burn report.
*/
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {getErrorText} from '@currantcross/core/error-text';
import type {BurnLine} from '@currantcross/core/burn';
import {parseTicket} from '@currantcross/core/ticket';
import type {Ticket} from '@currantcross/core/types';
import type {Command} from 'commander';
import {formatBurnChart} from './burn-chart.js';
import {UsageError} from './usage-error.js';
import {createOperatorClient, type OperatorClient} from './operator-client.js';
import type {BurnReport, InForceStatus} from './operator-types.js';
import {formatTable} from './table.js';

type ConnectionOptions = Readonly<{operator: string; keyFile: string; json: boolean}>;

const minuteMs = 60_000;

function print(text: string): void {
	process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
}

function printJson(value: unknown): void {
	print(JSON.stringify(value, undefined, 2));
}

/**
Reads and parses a JSON file.

@throws UsageError with the name of the file.
*/
export function readJsonFile(file: string): unknown {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch {
		throw new UsageError(`${file}: the file can not be read`);
	}

	try {
		return JSON.parse(text);
	} catch (error) {
		throw new UsageError(`${file}: not JSON: ${getErrorText(error)}`);
	}
}

function readTicket(file: string): Ticket {
	const parsed = parseTicket(readJsonFile(file));
	if (parsed.kind === 'invalid') {
		const [problem] = parsed.problems;
		throw new UsageError(`${file}: ${problem?.path ?? ''}: ${problem?.message ?? ''}`);
	}

	return parsed.ticket;
}

function readOperatorKey(file: string): string {
	try {
		return readFileSync(file, 'utf8').trim();
	} catch {
		throw new UsageError(`${file}: the key file can not be read`);
	}
}

function createClient({operator, keyFile}: ConnectionOptions): OperatorClient {
	if (!URL.canParse(operator)) {
		throw new UsageError(`--operator: ${operator} is not a URL`);
	}

	return createOperatorClient(operator, readOperatorKey(keyFile));
}

function addConnectionOptions(command: Command): Command {
	return command
		.requiredOption('--operator <url>', 'operator API of any entry')
		.requiredOption('--key-file <file>', 'file with the operator key')
		.option('--json', 'print JSON', false);
}

function formatInForce(inForce: readonly InForceStatus[]): string {
	const rows = inForce.map(({entry, dataCentre, afterMs}) => [dataCentre, entry, afterMs === undefined ? 'not yet' : `${Math.round(afterMs)} ms`]);
	return formatTable(['data centre', 'entry', 'in force after'], rows);
}

async function applyTicket(file: string, options: ConnectionOptions & {wait: boolean}): Promise<void> {
	const ticket = readTicket(file);
	const result = await createClient(options).applyTicket(ticket, options.wait);
	if (options.json) {
		printJson(result);
	} else {
		const acceptance = result.effect.kind === 'alreadyAccepted' ? 'was accepted before' : 'is accepted';
		print(`ticket ${ticket.number} ${acceptance}`);
		if (options.wait) {
			print(formatInForce(result.inForce));
		}
	}

	if (result.inForce.some(({afterMs}) => afterMs === undefined)) {
		process.exitCode = 1;
	}
}

async function showTicket(number: string, options: ConnectionOptions): Promise<void> {
	if (!/^\d+$/v.test(number)) {
		throw new UsageError(`NUMBER: ${number} is not a number`);
	}

	const objects = await createClient(options).getTicketObjects(Number(number));
	if (options.json) {
		printJson(objects);
		return;
	}

	print(formatTable(['kind', 'name', 'state'], objects.map(({object}) => [object.kind, object.name, JSON.stringify(object.state ?? 'removed')])));
}

async function listRoutes(options: ConnectionOptions): Promise<void> {
	const routes = await createClient(options).getRoutes();
	if (options.json) {
		printJson(routes);
		return;
	}

	const rows = routes.map(({name, route}) => [name, route.kind, route.pool, `${route.defaultDeadlineMs} ms`]);
	print(formatTable(['route', 'kind', 'pool', 'deadline'], rows));
}

async function showRoute(name: string, options: ConnectionOptions): Promise<void> {
	const routes = await createClient(options).getRoutes();
	const found = routes.find(view => view.name === name);
	if (found === undefined) {
		throw new UsageError(`route ${name} does not exist`);
	}

	printJson(found);
}

async function listServers(options: ConnectionOptions): Promise<void> {
	const servers = await createClient(options).getServers();
	if (options.json) {
		printJson(servers);
		return;
	}

	const rows = servers.map(server => [
		server.name,
		server.pool,
		server.dataCentre,
		server.isLeaving ? `${server.state}, leaving` : server.state,
		String(server.activeRequests ?? '-'),
		String(server.queuedRequests ?? '-'),
	]);
	print(formatTable(['server', 'pool', 'data centre', 'state', 'active', 'queued'], rows));
}

function formatBurnLine(line: BurnLine): readonly string[] {
	return [
		line.route,
		`${line.windowMs / minuteMs} min`,
		String(line.good + line.bad),
		String(line.bad),
		line.burnRate.toFixed(2),
		`${Math.round(line.budgetLeft * 100)} %`,
		line.worstOrganisations.join(','),
		line.worstBuckets.join(','),
	];
}

function printBurnReport(report: BurnReport): void {
	const headings = ['route', 'window', 'requests', 'bad', 'burn rate', 'budget left', 'organisations', 'lengths'];
	print(formatTable(headings, report.lines.map(line => formatBurnLine(line))));
	print(report.missing.length === 0 ? 'all entries answered' : `did not answer: ${report.missing.join(', ')}`);
}

async function reportBurn(options: ConnectionOptions & {svg?: string}): Promise<void> {
	const report = await createClient(options).getBurnReport();
	if (options.svg !== undefined) {
		writeFileSync(options.svg, formatBurnChart(report.lines));
	}

	if (options.json) {
		printJson(report);
		return;
	}

	printBurnReport(report);
}

/** Adds the operator commands to the program. */
export function addOperatorCommands(program: Command): void {
	const ticket = program.command('ticket').description('check, apply and show change tickets');
	ticket.command('check').description('check a ticket without applying it')
		.argument('<file>', 'ticket in JSON')
		.action((file: string) => {
			const {number, objects} = readTicket(file);
			print(`${file}: ticket ${number} is valid and touches ${objects.length} objects`);
		});
	addConnectionOptions(ticket.command('apply').description('apply a ticket; a repeat is harmless')
		.argument('<file>', 'ticket in JSON')
		.option('--wait', 'wait until it is in force at every entry', false)).action(applyTicket);
	addConnectionOptions(ticket.command('show').description('show the objects whose latest change came from a ticket')
		.argument('<number>', 'number of the ticket')).action(showTicket);
	const route = program.command('route').description('list and show serving routes');
	addConnectionOptions(route.command('list').description('list the routes')).action(listRoutes);
	addConnectionOptions(route.command('show').description('show one route').argument('<name>', 'name of the route')).action(showRoute);
	const server = program.command('server').description('list servers');
	addConnectionOptions(server.command('list').description('list the servers as one entry sees them')).action(listServers);
	const report = program.command('report').description('reports');
	addConnectionOptions(report.command('burn').description('burn rate of the service-level objectives by route and window')
		.option('--svg <file>', 'also write the report as an SVG chart')).action(reportBurn);
}
