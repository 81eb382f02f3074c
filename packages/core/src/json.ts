/**
Reads JSON that a part of this system wrote. What comes from outside is checked by a schema instead.
*/

/** Returns the value of a text whose form is known, since this system wrote it. */
export function parseTrustedJson<Value>(text: string): Value {
	return JSON.parse(text) as Value; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}
