/**
Parses JSON that was written by this system. Input from other sources is validated by a schema instead.
*/

/** Parses JSON without validation. The caller guarantees that the value has the given type. */
export function parseTrustedJson<Value>(text: string): Value {
	return JSON.parse(text) as Value; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}
