package httptarget

// The functions below find members of JSON that json.Valid has accepted. They
// allocate nothing, as they run for every chunk of every stream.

// member returns the raw value of the object's member with the exact name, the
// last one of several. It is nil if there is none or if object is no object.
func member(object []byte, name string) []byte {
	var found []byte
	i := skipSpace(object, 0)
	if i == len(object) || object[i] != '{' {
		return nil
	}
	for i = skipSpace(object, i+1); i < len(object) && object[i] == '"'; {
		end := skipValue(object, i)
		key := object[i+1 : end-1]
		start := skipSpace(object, skipSpace(object, end)+1)
		end = skipValue(object, start)
		if string(key) == name {
			found = object[start:end]
		}
		if i = skipSpace(object, end); i < len(object) && object[i] == ',' {
			i = skipSpace(object, i+1)
		}
	}
	return found
}

// element returns the first element of the array and the array's rest, which
// can be given to element again. The element is nil at the end.
func element(array []byte) (first, rest []byte) {
	i := skipSpace(array, 0)
	if i == len(array) || (array[i] != '[' && array[i] != ',') {
		return nil, nil
	}
	start := skipSpace(array, i+1)
	if start == len(array) || array[start] == ']' {
		return nil, nil
	}
	end := skipValue(array, start)
	return array[start:end], array[end:]
}

func skipSpace(data []byte, i int) int {
	for i < len(data) && (data[i] == ' ' || data[i] == '\n' || data[i] == '\r' || data[i] == '\t') {
		i++
	}
	return i
}

// skipValue returns the index after the value that starts at i.
func skipValue(data []byte, i int) int {
	depth := 0
	for ; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
		case '{', '[':
			depth++
			continue
		case '}', ']':
			depth--
		default:
			if depth > 0 {
				continue
			}
			return scalarEnd(data, i)
		}
		if depth <= 0 {
			return i + 1
		}
	}
	return i
}

// stringEnd returns the index of the quotation mark that ends the string
// starting at i.
func stringEnd(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return min(i, len(data)-1)
}

func scalarEnd(data []byte, i int) int {
	for i < len(data) {
		switch data[i] {
		case ',', '}', ']', ' ', '\n', '\r', '\t':
			return i
		}
		i++
	}
	return i
}

// isText reports whether raw is a string that is not empty.
func isText(raw []byte) bool { return len(raw) > 2 && raw[0] == '"' }

// generatedTokens returns the number of tokens in a streamed chunk's choices:
// engines send one token a chunk.
func generatedTokens(choices []byte) int64 {
	for first, rest := element(choices); first != nil; first, rest = element(rest) {
		if isText(member(first, "text")) || isText(member(member(first, "delta"), "content")) {
			return 1
		}
	}
	return 0
}

// isString reports whether raw is the JSON string of plain, which needs no
// escapes.
func isString(raw []byte, plain string) bool {
	return len(raw) == len(plain)+2 && raw[0] == '"' && string(raw[1:len(raw)-1]) == plain
}
